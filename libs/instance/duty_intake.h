#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "duties/replica_plan.h"
#include "duties/usage_tally.h"

namespace boragedoor::instance {

/// Who acts, as receivers of calls check it.
struct duty_holder {
  std::string name;
  std::uint64_t fencing_token = 0;
};

enum class intake_answer {
  accepted,
  /// A higher fencing token was seen.
  superseded,
  /// Refused for another reason, or not answered; it may be sent again.
  failed,
};

/// The platform's interfaces that one instance at a time may call.
class duty_intake {
public:
  virtual ~duty_intake() = default;
  duty_intake() = default;
  duty_intake(const duty_intake&) = delete;
  duty_intake& operator=(const duty_intake&) = delete;
  duty_intake(duty_intake&&) = delete;
  duty_intake& operator=(duty_intake&&) = delete;

  virtual void report_usage(std::uint64_t window, const duties::usage_counts& counts,
                            const duty_holder& by, std::function<void(intake_answer)> done) = 0;
  virtual void order_replicas(const duties::replica_order& order, const duty_holder& by,
                              std::function<void(intake_answer)> done) = 0;
};

} // namespace boragedoor::instance
