#include "admission/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace boragedoor::admission {

namespace {

bool goes_before(const queued_request& left, const queued_request& right) {
  // A paused stream holds text and cache that go stale, so it goes before new rollouts.
  return std::tuple(-left.priority, -left.pauses, left.queued) <
         std::tuple(-right.priority, -right.pauses, right.queued);
}

std::deque<queued_request>::iterator oldest_of(std::deque<queued_request>& line) {
  return std::min_element(line.begin(), line.end(), [](const auto& left, const auto& right) {
    return left.queued < right.queued;
  });
}

double tokens_of(const std::deque<queued_request>& line) {
  double sum = 0;
  for (const queued_request& it : line) {
    sum += it.tokens;
  }
  return sum;
}

} // namespace

result<admission_queue> admission_queue::create(const queue_options& options) {
  if (options.capacity == 0 || options.rollout_turn < 1 || options.aged_turn < 1 ||
      options.workspace_share <= 0 || options.workspace_share > 1) {
    return error{error_code::invalid_argument, "admission queue: capacity, rollout_turn and "
                                               "aged_turn must be positive and workspace_share "
                                               "above 0 and at most 1"};
  }
  return admission_queue(options);
}

admission_queue::lines& admission_queue::of(request_class kind) {
  return kind == request_class::interactive ? interactive_ : rollouts_;
}

const admission_queue::lines& admission_queue::of(request_class kind) const {
  return kind == request_class::interactive ? interactive_ : rollouts_;
}

std::size_t admission_queue::workspace_size(std::string_view workspace) const {
  std::size_t n = 0;
  for (const lines* list : {&interactive_, &rollouts_}) {
    const auto it = list->find(workspace);
    n += it == list->end() ? 0 : it->second.size();
  }
  return n;
}

result<void> admission_queue::room(std::string_view workspace) const {
  if (size_ >= options_.capacity) {
    return error{error_code::overloaded, "queue_full"};
  }
  const auto most =
      static_cast<std::size_t>(options_.workspace_share * static_cast<double>(options_.capacity));
  if (workspace_size(workspace) >= std::max<std::size_t>(1, most)) {
    return error{error_code::overloaded, "workspace_queue_full"};
  }
  return success();
}

result<void> admission_queue::push(queued_request it) {
  if (it.pauses == 0) {
    BOOST_OUTCOME_TRY(room(it.workspace));
  }
  earliest_deadline_ = std::min(earliest_deadline_, it.deadline);
  line& into = of(it.kind)[it.workspace];
  into.insert(std::upper_bound(into.begin(), into.end(), it, goes_before), std::move(it));
  size_ += 1;
  return success();
}

std::size_t admission_queue::size(request_class kind) const {
  std::size_t n = 0;
  for (const auto& [workspace, waiting] : of(kind)) {
    n += waiting.size();
  }
  return n;
}

request_class admission_queue::next_class() const {
  if (rollouts_.empty()) {
    return request_class::interactive;
  }
  const bool rollouts_turn = since_rollout_ + 1 >= options_.rollout_turn;
  return interactive_.empty() || rollouts_turn ? request_class::rollout
                                               : request_class::interactive;
}

std::optional<queued_request> admission_queue::pop(const fair_share& shares, time_point now) {
  if (size_ == 0) {
    return std::nullopt;
  }
  return pop(next_class(), shares, now);
}

std::optional<queued_request> admission_queue::pop(request_class kind, const fair_share& shares,
                                                   time_point now) {
  if (of(kind).empty()) {
    return std::nullopt;
  }
  since_rollout_ = kind == request_class::rollout || rollouts_.empty() ? 0 : since_rollout_ + 1;
  return take(kind, shares, now);
}

admission_queue::lines::iterator
admission_queue::choose_line(request_class kind, const fair_share& shares, time_point now) {
  lines& from = of(kind);
  int& since_aged = since_aged_.at(kind == request_class::interactive ? 0 : 1);
  since_aged += 1;
  if (since_aged >= options_.aged_turn) {
    const auto oldest = std::min_element(from.begin(), from.end(), [](auto& left, auto& right) {
      return oldest_of(left.second)->queued < oldest_of(right.second)->queued;
    });
    if (now - oldest_of(oldest->second)->queued >= options_.longest_wait) {
      since_aged = 0;
      return oldest;
    }
  }
  std::vector<std::string_view> workspaces;
  workspaces.reserve(from.size());
  for (const auto& [workspace, waiting] : from) {
    workspaces.push_back(workspace);
  }
  return from.find(shares.worst_served(workspaces, now));
}

queued_request admission_queue::take(request_class kind, const fair_share& shares, time_point now) {
  const auto chosen = choose_line(kind, shares, now);
  line& waiting = chosen->second;
  auto next = oldest_of(waiting);
  if (now - next->queued < options_.longest_wait) {
    next = waiting.begin();
  }
  queued_request out = std::move(*next);
  waiting.erase(next);
  if (waiting.empty()) {
    of(kind).erase(chosen);
  }
  size_ -= 1;
  return out;
}

std::vector<queued_request> admission_queue::expire(time_point now) {
  std::vector<queued_request> out;
  if (now < earliest_deadline_) {
    return out;
  }
  earliest_deadline_ = time_point::max();
  expire(interactive_, now, out);
  expire(rollouts_, now, out);
  return out;
}

void admission_queue::expire(lines& from, time_point now, std::vector<queued_request>& out) {
  for (auto& [workspace, waiting] : from) {
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (it->deadline <= now) {
        out.push_back(std::move(*it));
        it = waiting.erase(it);
        size_ -= 1;
      } else {
        earliest_deadline_ = std::min(earliest_deadline_, it->deadline);
        ++it;
      }
    }
  }
  std::erase_if(from, [](const auto& it) { return it.second.empty(); });
}

bool admission_queue::remove(std::uint64_t id) {
  for (lines* list : {&interactive_, &rollouts_}) {
    for (auto it = list->begin(); it != list->end(); ++it) {
      if (std::erase_if(it->second, [&](const auto& one) { return one.id == id; }) > 0) {
        size_ -= 1;
        if (it->second.empty()) {
          list->erase(it);
        }
        return true;
      }
    }
  }
  return false;
}

double admission_queue::tokens_ahead(std::string_view workspace, request_class kind,
                                     const fair_share& shares, time_point now) const {
  const lines& list = of(kind);
  const auto own = list.find(workspace);
  const double own_tokens = own == list.end() ? 0 : tokens_of(own->second);
  // Other workspaces go first until they are served as well as this one will be by then.
  const double level = shares.served(workspace, now) + own_tokens / shares.weight(workspace);
  double ahead = own_tokens;
  for (const auto& [other, waiting] : list) {
    if (other != workspace) {
      const double lead = std::max(0.0, level - shares.served(other, now));
      ahead += std::min(tokens_of(waiting), lead * shares.weight(other));
    }
  }
  if (kind == request_class::rollout) {
    for (const auto& [other, waiting] : interactive_) {
      ahead += tokens_of(waiting);
    }
  }
  return ahead;
}

} // namespace boragedoor::admission
