#pragma once

#include <functional>
#include <vector>

#include "duties/replica_plan.h"
#include "instance/configuration_task.h"
#include "instance/duty_intake.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Orders engines by what jobs ask for, while this process holds the duties.
class replica_task {
public:
  /// `open_items` tells how many items of all jobs are open, `loads_at_once` how many engines may
  /// load weights at the same time.
  replica_task(instance_context& context, member_task& members, duty_intake& intake,
               std::function<int()> open_items, std::function<int()> loads_at_once);

  void start();
  void note_version(const named_version& it) {
    plan_.record_version(it.model, context_.loop.now());
  }

private:
  void tick();
  [[nodiscard]] std::vector<duties::replica_bounds> services();
  void send(const duties::replica_order& order, const duty_holder& by);

  instance_context& context_;
  member_task& members_;
  duty_intake& intake_;
  std::function<int()> open_items_;
  std::function<int()> loads_at_once_;
  duties::replica_plan plan_;
  /// Data centres in which a service had engines: one that lost all of them is still ordered for.
  std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>> known_centres_;
  net::timer timer_;
};

} // namespace boragedoor::instance
