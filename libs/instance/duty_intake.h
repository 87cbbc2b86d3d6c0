#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "duties/replica_plan.h"
#include "duties/usage_tally.h"

namespace boragedoor::instance {

/// Holder of the duties, as its calls name it. Receivers may check the fencing token.
struct duty_holder {
  std::string name;
  /// Increases with each new holder.
  std::uint64_t fencing_token = 0;
  /// Whether the holder still holds the lease. A call whose connection is made later than that is
  /// not sent.
  std::function<bool()> is_current;
};

enum class intake_result {
  accepted,
  /// The receiver has seen a higher fencing token.
  superseded,
  /// Rejected for another reason, or without a response. The call may be repeated.
  failed,
};

/// Platform calls that only the holder of the duty lease may make.
class duty_intake {
public:
  virtual ~duty_intake() = default;
  duty_intake() = default;
  duty_intake(const duty_intake&) = delete;
  duty_intake& operator=(const duty_intake&) = delete;
  duty_intake(duty_intake&&) = delete;
  duty_intake& operator=(duty_intake&&) = delete;

  virtual void report_usage(std::uint64_t window, const duties::usage_counts& counts,
                            const duty_holder& holder,
                            std::function<void(intake_result)> on_done) = 0;
  virtual void order_replicas(const duties::replica_order& order, const duty_holder& holder,
                              std::function<void(intake_result)> on_done) = 0;
};

} // namespace boragedoor::instance
