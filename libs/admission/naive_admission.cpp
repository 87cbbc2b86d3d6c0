#include "admission/naive_admission.h"

#include <algorithm>

namespace boragedoor::admission {

void naive_admission::submit(const admission_request& it) {
  queue_.insert(
      {it.stated_priority, next_order_++, it.id, std::max(1, it.stated_tokens), it.deadline});
}

admission_actions naive_admission::poll(time_point now) {
  admission_actions out;
  while (!queue_.empty()) {
    const entry next = *queue_.begin();
    if (next.deadline <= now) {
      out.late.push_back(next.id);
      queue_.erase(queue_.begin());
      continue;
    }
    // A request larger than the limit runs alone.
    if (in_flight_ > 0 && in_flight_ + next.tokens > limit_) {
      break;
    }
    queue_.erase(queue_.begin());
    in_flight_ += next.tokens;
    running_.emplace(next.id, next.tokens);
    out.start.push_back(next.id);
  }
  return out;
}

void naive_admission::finish(std::uint64_t id) {
  if (const auto it = running_.find(id); it != running_.end()) {
    in_flight_ -= it->second;
    running_.erase(it);
  }
}

} // namespace boragedoor::admission
