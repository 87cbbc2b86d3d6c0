#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duties/weight_schedule.h"
#include "instance/configuration_task.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Orders engines to load the weight versions that trainers announce. Only the process that holds
/// the duty lease sends orders.
class weight_task {
public:
  weight_task(instance_context& context, member_task& members);
  ~weight_task() { *alive_ = false; }
  weight_task(const weight_task&) = delete;
  weight_task& operator=(const weight_task&) = delete;
  weight_task(weight_task&&) = delete;
  weight_task& operator=(weight_task&&) = delete;

  /// Sets where the steps of each model come from.
  void set_steps(std::function<std::map<std::string, duties::step_demand, std::less<>>()> steps) {
    steps_ = std::move(steps);
  }
  void start();
  /// Maximum number of engines that load weights at the same time.
  [[nodiscard]] int max_concurrent_loads() const {
    return static_cast<int>(schedule_.max_concurrent_loads());
  }
  void announce(const named_version& announced) {
    schedule_.announce(announced.model, announced.version, context_.loop.now());
  }

private:
  void tick();
  [[nodiscard]] std::vector<duties::engine_state> ready_engines() const;
  /// Requests the engine's state; `order_sent` says that the order was sent before.
  void request_report(const duties::load_order& order, bool order_sent, time_point deadline);
  void handle_report(const duties::load_order& order, const engine_report& report, bool order_sent,
                     time_point deadline);
  void send_order(const duties::load_order& order, std::uint64_t sequence, time_point deadline);
  /// Requests a report after a delay, for an order that was sent.
  void request_report_after(const duties::load_order& order, duration delay, time_point deadline);
  void record_failure(const duties::load_order& order, std::string_view reason);

  instance_context& context_;
  member_task& members_;
  std::function<std::map<std::string, duties::step_demand, std::less<>>()> steps_;
  duties::weight_schedule schedule_;
  net::timer timer_;
  /// Set to false on destruction, after which delayed callbacks do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
