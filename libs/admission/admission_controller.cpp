#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::admission {

namespace {

std::string_view name_of(request_class kind) {
  return kind == request_class::interactive ? "interactive" : "rollout";
}

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

duration from_seconds(double it) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
}

// Weight of one completed request in the measured rate of a place.
constexpr double rate_weight = 0.05;
// Callers are not asked to come back sooner than this.
constexpr duration shortest_retry_after = milliseconds(100);

} // namespace

result<admission_controller> admission_controller::create(const admission_options& options) {
  BOOST_OUTCOME_TRY(lengths, length_predictor::create(options.length));
  BOOST_OUTCOME_TRY(shares, fair_share::create(options.share));
  BOOST_OUTCOME_TRY(budget, priority_budget::create(options.priority));
  BOOST_OUTCOME_TRY(queue, admission_queue::create(options.queue));
  if (options.initial_place_rate <= 0 || options.interactive_reserve < 0 ||
      options.interactive_reserve >= 1) {
    return error{error_code::invalid_argument,
                 "admission: initial_place_rate must be positive and interactive_reserve within 0 "
                 "and 1"};
  }
  return admission_controller(options, std::move(lengths), std::move(shares), std::move(budget),
                              std::move(queue));
}

admission_controller::admission_controller(const admission_options& options,
                                           length_predictor lengths, fair_share shares,
                                           priority_budget budget, admission_queue queue)
    : options_(options), lengths_(std::move(lengths)), shares_(std::move(shares)),
      budget_(std::move(budget)), queue_(std::move(queue)),
      place_rate_(options.initial_place_rate) {}

void admission_controller::set_weight(std::string_view workspace, double weight) {
  shares_.set_weight(workspace, weight);
  budget_.set_weight(workspace, weight);
}

void admission_controller::set_fleet_use(std::string_view workspace, double tokens,
                                         time_point now) {
  shares_.set_fleet_use(workspace, tokens, now);
}

int admission_controller::predict(std::string_view workspace, request_class kind,
                                  int stated) const {
  return lengths_.predict(workspace, name_of(kind), stated);
}

duration admission_controller::expected_wait(std::string_view workspace, request_class kind,
                                             time_point now) const {
  const bool place_free = running_total() < places_ && queue_.size() == 0;
  if (place_free) {
    return duration::zero();
  }
  const double ahead = queue_.tokens_ahead(workspace, kind, shares_, now);
  return from_seconds(ahead / (place_rate_ * std::max(1, places_)));
}

refused admission_controller::refusal(std::string_view reason, duration over) {
  return {std::max(over, shortest_retry_after), reason};
}

admission_answer admission_controller::submit(const admission_request& it, time_point now) {
  const int tokens = predict(it.workspace, it.kind, it.stated_tokens);
  const duration wait = expected_wait(it.workspace, it.kind, now);
  // What callers state refuses nothing: else a class that overstates would never complete a request
  // from which its real lengths are learned.
  const bool known = lengths_.trusted(it.workspace, name_of(it.kind));
  const duration run = known ? from_seconds(tokens / place_rate_) : duration::zero();
  const duration slack = it.deadline - now;
  if (wait + run > slack) {
    // A request that is too long for its deadline even without a queue is not helped by waiting
    // less, so it is told when the queue ahead will be gone.
    return refusal("deadline", run > slack ? wait : wait + run - slack);
  }
  queued_request entry;
  entry.id = it.id;
  entry.workspace = it.workspace;
  entry.kind = it.kind;
  entry.tokens = tokens;
  entry.queued = now;
  entry.deadline = it.deadline;
  if (auto room = queue_.room(it.workspace); !room) {
    return refusal(room.error().message == "queue_full" ? "queue_full" : "workspace_queue_full",
                   wait / 2);
  }
  entry.priority = budget_.spend(it.workspace, it.stated_priority, tokens, now);
  active tracked;
  tracked.request = entry;
  tracked.can_pause = it.can_pause;
  waiting_.insert_or_assign(it.id, std::move(tracked));
  // There is room, as was checked above.
  static_cast<void>(queue_.push(std::move(entry)));
  return accepted{tokens};
}

admission_actions admission_controller::poll(time_point now) {
  admission_actions out;
  for (const queued_request& it : queue_.expire(now)) {
    out.late.push_back(it.id);
    waiting_.erase(it.id);
  }
  while (queue_.size() > 0 && start_next(now, out)) {
  }
  return out;
}

bool admission_controller::start_next(time_point now, admission_actions& out) {
  const int reserve = static_cast<int>(std::ceil(options_.interactive_reserve * places_));
  const bool for_any = running_total() < places_;
  const bool for_rollout = running_total() < std::max(1, places_ - reserve);
  std::optional<queued_request> next;
  if (for_rollout) {
    next = queue_.pop(shares_, now);
  } else if (for_any || (queue_.size(request_class::interactive) > 0 && pause_one(now, out))) {
    next = queue_.pop(request_class::interactive, shares_, now);
  }
  if (!next) {
    return false;
  }
  start(*next, now, out);
  return true;
}

void admission_controller::start(const queued_request& it, time_point now, admission_actions& out) {
  auto node = waiting_.extract(it.id);
  active& known = node.mapped();
  known.request = it;
  known.started = now;
  known.tokens_at_start = known.tokens;
  // The expected use counts from now on, so that the next decision sees it; `finish` corrects it.
  charge(known, known.tokens + it.tokens, now);
  out.start.push_back(it.id);
  running_.insert(std::move(node));
}

void admission_controller::charge(active& it, double total, time_point now) {
  shares_.record_use(it.request.workspace, total - it.charged, now);
  it.charged = total;
}

std::optional<std::uint64_t> admission_controller::pause_victim(time_point now) const {
  std::optional<std::uint64_t> victim;
  std::pair<double, int> most{-1, 0};
  for (const auto& [id, it] : running_) {
    if (it.request.kind != request_class::rollout || !it.can_pause ||
        it.request.pauses >= options_.most_pauses || now - it.started < options_.shortest_run) {
      continue;
    }
    // Of the best-served workspace, the rollout that has most ahead of it.
    const int left = static_cast<int>(it.charged) - it.tokens;
    const std::pair rank(shares_.served(it.request.workspace, now), left);
    if (!victim || rank > most) {
      victim = id;
      most = rank;
    }
  }
  return victim;
}

bool admission_controller::pause_one(time_point now, admission_actions& out) {
  const auto victim = pause_victim(now);
  if (!victim) {
    return false;
  }
  auto node = running_.extract(*victim);
  active& it = node.mapped();
  it.request.pauses += 1;
  it.request.queued = now;
  it.request.tokens = std::max(1, it.request.tokens - (it.tokens - it.tokens_at_start));
  charge(it, it.tokens, now);
  out.pause.push_back(*victim);
  // Paused streams always find room.
  static_cast<void>(queue_.push(it.request));
  waiting_.insert(std::move(node));
  return true;
}

void admission_controller::progress(std::uint64_t id, int tokens, time_point now) {
  if (const auto it = running_.find(id); it != running_.end()) {
    it->second.tokens = tokens;
    if (tokens > it->second.charged) {
      charge(it->second, tokens, now);
    }
  }
}

void admission_controller::finish(std::uint64_t id, int tokens, bool complete, time_point now) {
  const auto it = running_.find(id);
  if (it == running_.end()) {
    return;
  }
  active& known = it->second;
  charge(known, tokens, now);
  if (complete) {
    lengths_.record(known.request.workspace, name_of(known.request.kind), tokens);
    const double took = to_seconds(now - known.started);
    if (took > 0 && tokens > known.tokens_at_start) {
      place_rate_ += rate_weight * ((tokens - known.tokens_at_start) / took - place_rate_);
    }
  }
  running_.erase(it);
}

void admission_controller::cancel(std::uint64_t id, time_point now) {
  if (const auto it = running_.find(id); it != running_.end()) {
    finish(id, it->second.tokens, false, now);
  } else if (waiting_.erase(id) > 0) {
    queue_.remove(id);
  }
}

int places_of_instance(int own_running, int total_places, int total_outstanding, int instances) {
  const int n = std::max(1, instances);
  const int equal_part = (total_places + n - 1) / n;
  if (total_outstanding > total_places) {
    // Everyone gives back in proportion until the endpoints are no longer overfull.
    const auto reduced = static_cast<long long>(own_running) * total_places / total_outstanding;
    return std::max(equal_part, static_cast<int>(reduced));
  }
  return std::max(equal_part, own_running + (total_places - total_outstanding + n - 1) / n);
}

} // namespace boragedoor::admission
