#include "admission/naive_admission.h"

#include <algorithm>

namespace boragedoor::admission {

void naive_admission::submit(const admission_request& request) {
  queue_.insert({request.stated_priority, next_sequence_++, request.id,
                 std::max(1, request.stated_tokens), request.deadline});
}

admission_actions naive_admission::poll(time_point now) {
  admission_actions actions;
  while (!queue_.empty()) {
    const entry next = *queue_.begin();
    if (next.deadline <= now) {
      actions.expired.push_back(next.id);
      queue_.erase(queue_.begin());
      continue;
    }
    // A request larger than the limit may run alone.
    if (tokens_in_flight_ > 0 && tokens_in_flight_ + next.tokens > token_limit_) {
      break;
    }
    queue_.erase(queue_.begin());
    tokens_in_flight_ += next.tokens;
    running_.emplace(next.id, next.tokens);
    actions.start.push_back(next.id);
  }
  return actions;
}

void naive_admission::finish(std::uint64_t id) {
  if (const auto it = running_.find(id); it != running_.end()) {
    tokens_in_flight_ -= it->second;
    running_.erase(it);
  }
}

} // namespace boragedoor::admission
