#pragma once

#include "base/time.h"
#include "retry/retry_policy.h"

namespace boragedoor::retry {

/// Tries again at once and without limit until the deadline, whatever was sent. The baseline that
/// the bench compares `retry_policy` with; never to be used in the daemon.
class naive_retry {
public:
  static retry_decision decide(const failed_attempt& it, time_point now);
};

} // namespace boragedoor::retry
