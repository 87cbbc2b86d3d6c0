#include "support/fault_store.h"

#include <iostream>

namespace boragedoor::testing {

void fault_counts::print(const std::string& title) const {
  std::cout << title << ": " << schedules << " schedules, " << steps << " steps";
  for (const auto& [name, n] : faults) {
    std::cout << ", " << n << ' ' << name;
  }
  std::cout << '\n';
}

store_result fault_store::apply(const submitted& by) {
  const store_call& call = by.call;
  if (const auto* get = std::get_if<store_get>(&call)) {
    const auto it = cells_.find(get->key);
    if (it == cells_.end()) {
      if (on_gone) {
        on_gone(by.client, get->key);
      }
      return store_read_result{get->call, read_outcome::missing, {}, 0};
    }
    return store_read_result{get->call, read_outcome::found, it->second.value, it->second.version};
  }
  if (const auto* put = std::get_if<store_put>(&call)) {
    cell& it = cells_[put->key];
    if (it.version != put->expect_version) {
      const store_write_result conflict{put->call, write_outcome::conflict, it.version};
      if (it.version == 0) {
        cells_.erase(put->key);
      }
      return conflict;
    }
    it = {put->value, ++revision_};
    return store_write_result{put->call, write_outcome::ok, it.version};
  }
  const auto& erase = std::get<store_delete>(call);
  const auto it = cells_.find(erase.key);
  const bool ok = it != cells_.end() &&
                  (erase.expect_version == 0 || erase.expect_version == it->second.version);
  if (ok) {
    cells_.erase(it);
    if (on_gone) {
      on_gone(by.client, erase.key);
    }
  }
  return store_write_result{erase.call, ok ? write_outcome::ok : write_outcome::conflict, 0};
}

store_result fault_store::lost(const store_call& call) {
  if (const auto* get = std::get_if<store_get>(&call)) {
    return store_read_result{get->call, read_outcome::unknown, {}, 0};
  }
  const auto* put = std::get_if<store_put>(&call);
  const std::uint64_t number = put != nullptr ? put->call : std::get<store_delete>(call).call;
  return store_write_result{number, write_outcome::unknown, 0};
}

void fault_store::step(bool faulty) {
  if (faulty && !late_.empty() && pick(random_, 10) == 0) {
    const std::size_t at = pick(random_, late_.size());
    apply(late_[at]);
    late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(at));
    counts_.count("late writes");
  }
  if (calls_.empty()) {
    return;
  }
  const std::size_t at = pick(random_, calls_.size());
  const submitted it = std::move(calls_[at]);
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(at));
  const std::uint64_t fault = faulty ? pick(random_, 12) : 12;
  store_result result = fault == 0 || fault == 1 ? lost(it.call) : apply(it);
  if (fault == 0) {
    counts_.count("lost calls");
  } else if (fault == 1) {
    counts_.count("delayed calls");
    late_.push_back(it);
  } else if (fault == 2) {
    counts_.count("lost store answers");
    result = lost(it.call);
  }
  results_[it.client].push_back(std::move(result));
}

bool fault_store::take(std::size_t client, store_result& to) {
  std::deque<store_result>& queue = results_[client];
  if (queue.empty()) {
    return false;
  }
  to = std::move(queue.front());
  queue.pop_front();
  return true;
}

} // namespace boragedoor::testing
