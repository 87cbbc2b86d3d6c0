#pragma once

#include <memory>
#include <string>
#include <vector>

#include "duties/weight_schedule.h"
#include "instance/configuration_task.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Orders engines to load the versions that trainers name, while this process holds the duties.
class weight_task {
public:
  weight_task(instance_context& context, member_task& members);
  ~weight_task() { *alive_ = false; }
  weight_task(const weight_task&) = delete;
  weight_task& operator=(const weight_task&) = delete;
  weight_task(weight_task&&) = delete;
  weight_task& operator=(weight_task&&) = delete;

  void start();
  /// Engines that may load weights at the same time.
  [[nodiscard]] int loads_at_once() const {
    return static_cast<int>(schedule_.max_concurrent_loads());
  }
  void name(const named_version& it) {
    schedule_.announce(it.model, it.version, context_.loop.now());
  }

private:
  void tick();
  [[nodiscard]] std::vector<duties::engine_state> engines() const;
  void ask_report(const duties::load_order& order, bool ordered, time_point give_up);
  void take_report(const duties::load_order& order, const engine_report& report, bool ordered,
                   time_point give_up);
  void send_order(const duties::load_order& order, std::uint64_t sequence, time_point give_up);
  /// Asks for a report after a delay.
  void poll(const duties::load_order& order, duration delay, time_point give_up);
  void fail(const duties::load_order& order, std::string_view reason);

  instance_context& context_;
  member_task& members_;
  duties::weight_schedule schedule_;
  net::timer timer_;
  /// Delayed calls that come after the destruction do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
