#pragma once

#include "base/time.h"
#include "retry/retry_policy.h"

namespace boragedoor::retry {

/// Retries immediately and without limit until the deadline, even if the request may have run.
/// Serves as the baseline that the bench compares with `retry_policy`; must not be used in the
/// daemon.
class naive_retry {
public:
  static retry_decision decide(const failed_attempt& attempt, time_point now);
};

} // namespace boragedoor::retry
