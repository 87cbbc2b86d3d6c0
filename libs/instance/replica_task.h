#pragma once

#include <functional>
#include <vector>

#include "duties/replica_plan.h"
#include "instance/configuration_task.h"
#include "instance/duty_intake.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Scales the replicas of services to the demand of jobs. Only the process that holds the duty
/// lease sends orders.
class replica_task {
public:
  /// `open_item_count` returns the number of open items in all jobs, `max_concurrent_loads` the
  /// maximum number of engines that load weights at the same time.
  replica_task(instance_context& context, member_task& members, duty_intake& intake,
               std::function<int()> open_item_count, std::function<int()> max_concurrent_loads);

  void start();
  /// Records the announcement of a version. The plan uses the announcement interval.
  void note_version(const named_version& announced) {
    plan_.record_version(announced.model, context_.loop.now());
  }

private:
  void tick();
  [[nodiscard]] std::vector<duties::replica_bounds> scaled_services();
  void send_order(const duties::replica_order& order, const duty_holder& holder);

  instance_context& context_;
  member_task& members_;
  duty_intake& intake_;
  std::function<int()> open_item_count_;
  std::function<int()> max_concurrent_loads_;
  duties::replica_plan plan_;
  /// Ready engines by service and data centre. A data centre that lost all its engines stays, so
  /// that replicas are still ordered there.
  std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>> known_data_centres_;
  net::timer timer_;
};

} // namespace boragedoor::instance
