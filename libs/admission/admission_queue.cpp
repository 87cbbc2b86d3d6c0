#include "admission/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace boragedoor::admission {

namespace {

bool goes_before(const queued_request& left, const queued_request& right) {
  // Paused streams go before new rollouts because their text and cache entries become stale.
  return std::tuple(-left.priority, -left.pauses, left.queued) <
         std::tuple(-right.priority, -right.pauses, right.queued);
}

std::deque<queued_request>::iterator oldest(std::deque<queued_request>& queue) {
  return std::min_element(queue.begin(), queue.end(), [](const auto& left, const auto& right) {
    return left.queued < right.queued;
  });
}

double total_tokens(const std::deque<queued_request>& queue) {
  double sum = 0;
  for (const queued_request& it : queue) {
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

admission_queue::workspace_queues& admission_queue::queues_of(request_class kind) {
  return kind == request_class::interactive ? interactive_ : rollouts_;
}

const admission_queue::workspace_queues& admission_queue::queues_of(request_class kind) const {
  return kind == request_class::interactive ? interactive_ : rollouts_;
}

std::size_t admission_queue::workspace_size(std::string_view workspace) const {
  std::size_t n = 0;
  for (const workspace_queues* queues : {&interactive_, &rollouts_}) {
    const auto it = queues->find(workspace);
    n += it == queues->end() ? 0 : it->second.size();
  }
  return n;
}

result<void> admission_queue::check_capacity(std::string_view workspace) const {
  if (size_ >= options_.capacity) {
    return error{error_code::overloaded, "queue_full"};
  }
  const auto workspace_capacity =
      static_cast<std::size_t>(options_.workspace_share * static_cast<double>(options_.capacity));
  if (workspace_size(workspace) >= std::max<std::size_t>(1, workspace_capacity)) {
    return error{error_code::overloaded, "workspace_queue_full"};
  }
  return success();
}

result<void> admission_queue::push(queued_request request) {
  if (request.pauses == 0) {
    BOOST_OUTCOME_TRY(check_capacity(request.workspace));
  }
  earliest_deadline_ = std::min(earliest_deadline_, request.deadline);
  workspace_queue& queue = queues_of(request.kind)[request.workspace];
  queue.insert(std::upper_bound(queue.begin(), queue.end(), request, goes_before),
               std::move(request));
  size_ += 1;
  return success();
}

std::size_t admission_queue::size(request_class kind) const {
  std::size_t n = 0;
  for (const auto& [workspace, waiting] : queues_of(kind)) {
    n += waiting.size();
  }
  return n;
}

request_class admission_queue::next_request_class() const {
  if (rollouts_.empty()) {
    return request_class::interactive;
  }
  const bool is_rollout_turn = pops_since_rollout_ + 1 >= options_.rollout_turn;
  return interactive_.empty() || is_rollout_turn ? request_class::rollout
                                                 : request_class::interactive;
}

std::optional<queued_request> admission_queue::pop(const fair_share& shares, time_point now) {
  if (size_ == 0) {
    return std::nullopt;
  }
  return pop(next_request_class(), shares, now);
}

std::optional<queued_request> admission_queue::pop(request_class kind, const fair_share& shares,
                                                   time_point now) {
  if (queues_of(kind).empty()) {
    return std::nullopt;
  }
  pops_since_rollout_ =
      kind == request_class::rollout || rollouts_.empty() ? 0 : pops_since_rollout_ + 1;
  return take_next(kind, shares, now);
}

admission_queue::workspace_queues::iterator
admission_queue::choose_workspace(request_class kind, const fair_share& shares, time_point now) {
  workspace_queues& queues = queues_of(kind);
  int& pops_since_aged = pops_since_aged_.at(kind == request_class::interactive ? 0 : 1);
  pops_since_aged += 1;
  if (pops_since_aged >= options_.aged_turn) {
    const auto longest_waiting =
        std::min_element(queues.begin(), queues.end(), [](auto& left, auto& right) {
          return oldest(left.second)->queued < oldest(right.second)->queued;
        });
    if (now - oldest(longest_waiting->second)->queued >= options_.aging_threshold) {
      pops_since_aged = 0;
      return longest_waiting;
    }
  }
  std::vector<std::string_view> workspaces;
  workspaces.reserve(queues.size());
  for (const auto& [workspace, waiting] : queues) {
    workspaces.push_back(workspace);
  }
  return queues.find(shares.least_served_workspace(workspaces, now));
}

queued_request admission_queue::take_next(request_class kind, const fair_share& shares,
                                          time_point now) {
  const auto chosen = choose_workspace(kind, shares, now);
  workspace_queue& waiting = chosen->second;
  auto next = oldest(waiting);
  if (now - next->queued < options_.aging_threshold) {
    next = waiting.begin();
  }
  queued_request out = std::move(*next);
  waiting.erase(next);
  if (waiting.empty()) {
    queues_of(kind).erase(chosen);
  }
  size_ -= 1;
  return out;
}

std::vector<queued_request> admission_queue::expire(time_point now) {
  std::vector<queued_request> expired;
  if (now < earliest_deadline_) {
    return expired;
  }
  earliest_deadline_ = time_point::max();
  expire(interactive_, now, expired);
  expire(rollouts_, now, expired);
  return expired;
}

void admission_queue::expire(workspace_queues& queues, time_point now,
                             std::vector<queued_request>& expired) {
  for (auto& [workspace, waiting] : queues) {
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (it->deadline <= now) {
        expired.push_back(std::move(*it));
        it = waiting.erase(it);
        size_ -= 1;
      } else {
        earliest_deadline_ = std::min(earliest_deadline_, it->deadline);
        ++it;
      }
    }
  }
  std::erase_if(queues, [](const auto& it) { return it.second.empty(); });
}

bool admission_queue::remove(std::uint64_t id) {
  for (workspace_queues* list : {&interactive_, &rollouts_}) {
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
  const workspace_queues& queues = queues_of(kind);
  const auto own = queues.find(workspace);
  const double own_tokens = own == queues.end() ? 0 : total_tokens(own->second);
  // Other workspaces go first until their normalized usage reaches that of this workspace after its
  // queued requests ran.
  const double usage_after_own =
      shares.normalized_usage(workspace, now) + own_tokens / shares.weight(workspace);
  double ahead = own_tokens;
  for (const auto& [other, waiting] : queues) {
    if (other != workspace) {
      const double usage_gap = std::max(0.0, usage_after_own - shares.normalized_usage(other, now));
      ahead += std::min(total_tokens(waiting), usage_gap * shares.weight(other));
    }
  }
  if (kind == request_class::rollout) {
    for (const auto& [other, waiting] : interactive_) {
      ahead += total_tokens(waiting);
    }
  }
  return ahead;
}

} // namespace boragedoor::admission
