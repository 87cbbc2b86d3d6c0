#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::admission {

namespace {

std::string_view class_name(request_class kind) {
  return kind == request_class::interactive ? "interactive" : "rollout";
}

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

duration from_seconds(double it) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
}

// Smoothing factor of the measured tokens per second.
constexpr double rate_smoothing = 0.05;
// Lower limit of the retry_after of a refusal.
constexpr duration min_retry_after = milliseconds(100);

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
                                           length_predictor predictor, fair_share shares,
                                           priority_budget budget, admission_queue queue)
    : options_(options), length_predictor_(std::move(predictor)), shares_(std::move(shares)),
      budget_(std::move(budget)), queue_(std::move(queue)),
      tokens_per_second_(options.initial_place_rate) {}

void admission_controller::set_weight(std::string_view workspace, double weight) {
  shares_.set_weight(workspace, weight);
  budget_.set_weight(workspace, weight);
}

void admission_controller::set_fleet_usage(std::string_view workspace, double tokens,
                                           time_point now) {
  shares_.set_fleet_usage(workspace, tokens, now);
}

int admission_controller::predict(std::string_view workspace, request_class kind,
                                  int stated_tokens) const {
  return length_predictor_.predict(workspace, class_name(kind), stated_tokens);
}

duration admission_controller::expected_wait(std::string_view workspace, request_class kind,
                                             time_point now) const {
  const bool starts_now = running_total() < max_running_ && queue_.size() == 0;
  if (starts_now) {
    return duration::zero();
  }
  const double ahead = queue_.tokens_ahead(workspace, kind, shares_, now);
  return from_seconds(ahead / (tokens_per_second_ * std::max(1, max_running_)));
}

refused admission_controller::make_refusal(std::string_view reason, duration retry_after) {
  return {std::max(retry_after, min_retry_after), reason};
}

admission_decision admission_controller::submit(const admission_request& request, time_point now) {
  const int tokens = predict(request.workspace, request.kind, request.stated_tokens);
  const duration wait = expected_wait(request.workspace, request.kind, now);
  // Stated lengths are not used to refuse a request. Otherwise a class that overstates its lengths
  // would never complete a request from which the predictor learns the real ones.
  const bool length_known =
      length_predictor_.has_enough_samples(request.workspace, class_name(request.kind));
  const duration run_time =
      length_known ? from_seconds(tokens / tokens_per_second_) : duration::zero();
  const duration slack = request.deadline - now;
  if (wait + run_time > slack) {
    // A request that would miss its deadline even without queueing gets the time until the queue is
    // empty, because no shorter queue would help it.
    return make_refusal("deadline", run_time > slack ? wait : wait + run_time - slack);
  }
  queued_request entry;
  entry.id = request.id;
  entry.workspace = request.workspace;
  entry.kind = request.kind;
  entry.tokens = tokens;
  entry.queued = now;
  entry.deadline = request.deadline;
  if (auto capacity = queue_.check_capacity(request.workspace); !capacity) {
    return make_refusal(
        capacity.error().message == "queue_full" ? "queue_full" : "workspace_queue_full", wait / 2);
  }
  entry.priority = budget_.spend(request.workspace, request.stated_priority, tokens, now);
  tracked_request tracked;
  tracked.request = entry;
  tracked.can_pause = request.can_pause;
  waiting_.insert_or_assign(request.id, std::move(tracked));
  // Cannot fail: the capacity was checked above.
  static_cast<void>(queue_.push(std::move(entry)));
  return accepted{tokens};
}

admission_actions admission_controller::poll(time_point now) {
  admission_actions actions;
  for (const queued_request& it : queue_.expire(now)) {
    actions.expired.push_back(it.id);
    waiting_.erase(it.id);
  }
  while (queue_.size() > 0 && start_next(now, actions)) {
  }
  return actions;
}

bool admission_controller::start_next(time_point now, admission_actions& actions) {
  const int reserve = static_cast<int>(std::ceil(options_.interactive_reserve * max_running_));
  const bool slot_free = running_total() < max_running_;
  const bool rollout_slot_free = running_total() < std::max(1, max_running_ - reserve);
  std::optional<queued_request> next;
  if (rollout_slot_free) {
    next = queue_.pop(shares_, now);
  } else if (slot_free ||
             (queue_.size(request_class::interactive) > 0 && pause_one(now, actions))) {
    next = queue_.pop(request_class::interactive, shares_, now);
  }
  if (!next) {
    return false;
  }
  start(*next, now, actions);
  return true;
}

void admission_controller::start(const queued_request& request, time_point now,
                                 admission_actions& actions) {
  auto node = waiting_.extract(request.id);
  tracked_request& tracked = node.mapped();
  tracked.request = request;
  tracked.started = now;
  tracked.tokens_at_start = tracked.tokens;
  // The expected usage is charged at the start, so that the next decision takes it into account;
  // `finish` replaces it by the actual usage.
  charge(tracked, tracked.tokens + request.tokens, now);
  actions.start.push_back(request.id);
  running_.insert(std::move(node));
}

void admission_controller::charge(tracked_request& tracked, double total_tokens, time_point now) {
  shares_.record_usage(tracked.request.workspace, total_tokens - tracked.charged_tokens, now);
  tracked.charged_tokens = total_tokens;
}

std::optional<std::uint64_t> admission_controller::select_pause_victim(time_point now) const {
  std::optional<std::uint64_t> victim;
  std::pair<double, int> highest_rank{-1, 0};
  for (const auto& [id, it] : running_) {
    if (it.request.kind != request_class::rollout || !it.can_pause ||
        it.request.pauses >= options_.max_pauses || now - it.started < options_.min_run_time) {
      continue;
    }
    // Picks the workspace with the highest normalized usage, then its rollout with the most tokens
    // left.
    const int remaining_tokens = static_cast<int>(it.charged_tokens) - it.tokens;
    const std::pair rank(shares_.normalized_usage(it.request.workspace, now), remaining_tokens);
    if (!victim || rank > highest_rank) {
      victim = id;
      highest_rank = rank;
    }
  }
  return victim;
}

bool admission_controller::pause_one(time_point now, admission_actions& actions) {
  const auto victim = select_pause_victim(now);
  if (!victim) {
    return false;
  }
  auto node = running_.extract(*victim);
  tracked_request& it = node.mapped();
  it.request.pauses += 1;
  it.request.queued = now;
  it.request.tokens = std::max(1, it.request.tokens - (it.tokens - it.tokens_at_start));
  charge(it, it.tokens, now);
  actions.pause.push_back(*victim);
  // Cannot fail: the capacity limits do not apply to paused streams.
  static_cast<void>(queue_.push(it.request));
  waiting_.insert(std::move(node));
  return true;
}

void admission_controller::record_progress(std::uint64_t id, int tokens, time_point now) {
  if (const auto it = running_.find(id); it != running_.end()) {
    it->second.tokens = tokens;
    if (tokens > it->second.charged_tokens) {
      charge(it->second, tokens, now);
    }
  }
}

void admission_controller::finish(std::uint64_t id, int tokens, bool complete, time_point now) {
  const auto it = running_.find(id);
  if (it == running_.end()) {
    return;
  }
  tracked_request& tracked = it->second;
  charge(tracked, tokens, now);
  if (complete) {
    length_predictor_.record(tracked.request.workspace, class_name(tracked.request.kind), tokens);
    const double run_seconds = to_seconds(now - tracked.started);
    if (run_seconds > 0 && tokens > tracked.tokens_at_start) {
      tokens_per_second_ +=
          rate_smoothing * ((tokens - tracked.tokens_at_start) / run_seconds - tokens_per_second_);
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

int max_running_of_instance(int own_running, int total_slots, int total_outstanding,
                            int instances) {
  const int n = std::max(1, instances);
  const int equal_share = (total_slots + n - 1) / n;
  if (total_outstanding > total_slots) {
    // Everyone gives back in proportion until the endpoints are no longer overfull.
    const auto reduced = static_cast<long long>(own_running) * total_slots / total_outstanding;
    return std::max(equal_share, static_cast<int>(reduced));
  }
  return std::max(equal_share, own_running + (total_slots - total_outstanding + n - 1) / n);
}

} // namespace boragedoor::admission
