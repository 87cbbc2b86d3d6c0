#include "retry/naive_retry.h"

namespace boragedoor::retry {

retry_decision naive_retry::decide(const failed_attempt& attempt, time_point now) {
  if (now >= attempt.deadline) {
    return give_up{give_up_reason::deadline, execution_status(attempt)};
  }
  return retry_attempt{now, 0};
}

} // namespace boragedoor::retry
