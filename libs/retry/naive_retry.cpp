#include "retry/naive_retry.h"

namespace boragedoor::retry {

retry_decision naive_retry::decide(const failed_attempt& it, time_point now) {
  if (now >= it.deadline) {
    return give_up{give_up_reason::deadline, executed_by(it)};
  }
  return try_again{now, 0};
}

} // namespace boragedoor::retry
