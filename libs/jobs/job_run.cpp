#include "jobs/job_run.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "base/release_memory.h"

namespace boragedoor::jobs {

namespace {

/// Number of endpoints that an item avoids after unsuccessful runs. A higher number would leave too
/// few endpoints to choose from.
constexpr std::size_t max_avoided_endpoints = 2;

} // namespace

job_run::job_run(job contents, std::span<const item_result> listed, time_point now,
                 std::span<const item_progress> initial_progress, const job_run_options& options,
                 std::span<const std::size_t> carried)
    : job_(std::move(contents)), options_(options), items_(job_.items.size()), groups_(job_.items),
      listing_(now, options.listing) {
  std::map<std::string_view, std::size_t> index;
  for (std::size_t n = 0; n < job_.items.size(); ++n) {
    index.emplace(job_.items[n].id, n);
  }
  for (const item_result& it : listed) {
    if (const auto found = index.find(it.id); found != index.end()) {
      items_[found->second].current_phase = phase::taken;
      groups_.mark_finished(found->second);
    }
  }
  for (const item_progress& it : initial_progress) {
    const auto found = index.find(it.id);
    if (found == index.end() || items_[found->second].current_phase != phase::waiting ||
        it.software.empty()) {
      continue;
    }
    tracked_item& restored = items_[found->second];
    if (restored.last_event && *restored.last_event >= it.last_event) {
      continue;
    }
    restored.text = it.text;
    restored.has_text = true;
    restored.last_event = it.last_event;
    restored.versions = {it.versions.begin(), it.versions.end()};
    restored.software = it.software;
    restored.unverified = it.unverified;
  }
  for (const std::size_t n : carried) {
    groups_.require(n);
  }
  rank_items();
}

void job_run::rank_items() {
  // A group is complete when its longest item is, so groups are sorted by that item. The trainer
  // stops waiting once it has `desired_groups`, so the longest groups beyond that number come last,
  // but for those that it waits for in any case.
  // Among the others, the longest items start first, because they decide when the last group is
  // complete.
  std::map<std::string_view, std::int64_t> longest;
  std::set<std::string_view> required;
  std::vector<std::string_view> groups;
  for (std::size_t n = 0; n < job_.items.size(); ++n) {
    const job_item& it = job_.items[n];
    const auto [found, added] = longest.emplace(it.group, it.expected_tokens);
    if (added) {
      groups.emplace_back(it.group);
    }
    found->second = std::max(found->second, it.expected_tokens);
    if (groups_.is_required(n)) {
      required.insert(it.group);
    }
  }
  std::stable_sort(groups.begin(), groups.end(), [&](std::string_view a, std::string_view b) {
    const bool required_a = required.contains(a);
    return required_a != required.contains(b) ? required_a : longest[a] < longest[b];
  });
  const std::size_t desired =
      job_.desired_groups == 0 ? groups.size() : std::min(job_.desired_groups, groups.size());
  const std::set<std::string_view> surplus(groups.begin() + static_cast<std::ptrdiff_t>(desired),
                                           groups.end());
  order_.resize(items_.size());
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  std::stable_sort(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) {
    const bool surplus_a = surplus.contains(job_.items[a].group);
    const bool surplus_b = surplus.contains(job_.items[b].group);
    if (surplus_a != surplus_b) {
      return surplus_b;
    }
    return job_.items[a].expected_tokens > job_.items[b].expected_tokens;
  });
}

std::optional<std::size_t> job_run::next_item(time_point now) const {
  for (const std::size_t n : order_) {
    if (items_[n].current_phase == phase::waiting && items_[n].not_before <= now) {
      return n;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> job_run::last_event(std::size_t n) const {
  return items_[n].last_event;
}

std::string_view job_run::group_endpoint(std::size_t n) const {
  const auto it = group_endpoints_.find(job_.items[n].group);
  return it == group_endpoints_.end() ? std::string_view() : it->second;
}

std::span<const std::string> job_run::avoided_endpoints(std::size_t n) const {
  return items_[n].avoided_endpoints;
}

bool job_run::postpone(std::size_t n, bool left, time_point now) {
  tracked_item& it = items_[n];
  it.waiting_since = it.waiting_since.value_or(now);
  const auto events = static_cast<duration::rep>(it.last_event.value_or(0));
  if (!left || now - *it.waiting_since >= events * options_.continuation_wait_per_event) {
    discard_text(it);
    return true;
  }
  it.not_before = now + options_.continuation_retry_delay;
  return false;
}

void job_run::discard_text(tracked_item& it) {
  release_memory(it.text);
  it.has_text = false;
  it.last_event.reset();
  it.versions.clear();
  it.software.clear();
  it.unverified.reset();
  it.waiting_since.reset();
}

void job_run::refute_text(std::size_t n, time_point now) {
  discard_text(items_[n]);
  items_[n].not_before = now;
}

void job_run::started(std::size_t n, const run_target& target, time_point now) {
  tracked_item& it = items_[n];
  it.current_phase = phase::running;
  it.endpoint = target.endpoint;
  it.run_software = target.software;
  it.run_process_start_ms = target.process_start_ms;
  it.run_verified = false;
  it.waiting_since.reset();
  it.run_version = 0;
  it.run_events = 0;
  it.run_started = now;
  it.last_activity = now;
  group_endpoints_.emplace(job_.items[n].group, target.endpoint);
}

bool job_run::accept_version(std::size_t n, std::uint64_t version) {
  tracked_item& it = items_[n];
  it.run_version = version;
  if (version < job_.minimum_version) {
    return false;
  }
  // With `single_version`, a text must be restarted when the version changes.
  return !job_.single_version || it.versions.empty() || it.versions.contains(version);
}

bool job_run::append_event(std::size_t n, const stream_event& event, time_point now) {
  tracked_item& it = items_[n];
  if (!event.id || (it.last_event && *event.id != *it.last_event + 1)) {
    return false;
  }
  if (!it.has_text) {
    it.software = it.run_software;
  } else if (it.software != it.run_software) {
    return false;
  }
  if (!it.run_verified) {
    it.unverified = routing::endpoint_process{it.endpoint, it.run_process_start_ms};
  }
  if (it.text.size() + event.data.size() >= options_.max_text_bytes) {
    discard_text(it);
    return false;
  }
  if (it.has_text) {
    it.text += '\n';
  }
  it.text += event.data;
  it.has_text = true;
  it.last_event = event.id;
  it.versions.insert(it.run_version);
  it.last_activity = now;
  it.runs_without_events = 0;
  ++it.run_events;
  ++events_;
  it.avoided_endpoints.clear();
  return true;
}

void job_run::ended(std::size_t n, run_outcome outcome, time_point now) {
  tracked_item& it = items_[n];
  if (it.current_phase != phase::running) {
    return;
  }
  const std::string endpoint = std::exchange(it.endpoint, {});
  if (const auto found = group_endpoints_.find(job_.items[n].group);
      outcome != run_outcome::complete && found != group_endpoints_.end() &&
      found->second == endpoint) {
    group_endpoints_.erase(found);
  }
  it.current_phase = phase::waiting;
  switch (outcome) {
  case run_outcome::complete:
    if (!it.has_text) {
      schedule_retry(it, endpoint, now);
      return;
    }
    it.current_phase = phase::text_complete;
    it.not_before = now;
    groups_.mark_generated(n);
    if (!job_.items[n].reward) {
      finish(n, item_state::done, now);
    }
    return;
  case run_outcome::impossible:
    finish(n, item_state::terminated, now);
    return;
  case run_outcome::failed:
    if (++it.failures >= job_.max_attempts) {
      finish(n, item_state::terminated, now);
      return;
    }
    schedule_retry(it, endpoint, now);
    return;
  case run_outcome::stale_weights:
    if (job_.single_version) {
      discard_text(it);
    }
    schedule_retry(it, endpoint, now);
    return;
  case run_outcome::moved:
    it.avoided_endpoints.assign(1, endpoint);
    it.not_before = now;
    return;
  case run_outcome::broken:
  case run_outcome::not_run:
    schedule_retry(it, endpoint, now);
    return;
  }
}

duration job_run::retry_delay(int earlier_failures) const {
  duration delay = options_.initial_retry_delay;
  for (int n = 0; n < earlier_failures && delay < options_.max_retry_delay; ++n) {
    delay *= 2;
  }
  return std::min(delay, options_.max_retry_delay);
}

void job_run::schedule_retry(tracked_item& it, std::string_view endpoint, time_point now) {
  it.not_before = now + retry_delay(it.runs_without_events++);
  it.avoided_endpoints.emplace_back(endpoint);
  if (it.avoided_endpoints.size() > max_avoided_endpoints) {
    it.avoided_endpoints.erase(it.avoided_endpoints.begin());
  }
}

void job_run::finish(std::size_t n, item_state outcome, time_point now) {
  tracked_item& it = items_[n];
  groups_.mark_finished(n);
  it.current_phase = phase::finished;
  it.outcome = outcome;
  it.finished_at = now;
}

std::optional<std::size_t> job_run::next_reward(time_point now) const {
  for (const std::size_t n : order_) {
    if (items_[n].current_phase == phase::text_complete && items_[n].not_before <= now) {
      return n;
    }
  }
  return std::nullopt;
}

void job_run::reward_started(std::size_t n) {
  items_[n].current_phase = phase::scoring;
}

void job_run::reward_ended(std::size_t n, reward_outcome outcome, std::string score,
                           int reward_attempts, time_point now) {
  tracked_item& it = items_[n];
  if (it.current_phase != phase::scoring) {
    return;
  }
  if (outcome == reward_outcome::scored) {
    it.score = std::move(score);
    finish(n, item_state::done, now);
    return;
  }
  if (outcome == reward_outcome::impossible ||
      (outcome == reward_outcome::failed && ++it.reward_failures >= reward_attempts)) {
    finish(n, item_state::terminated, now);
    return;
  }
  it.current_phase = phase::text_complete;
  it.not_before = now + (outcome == reward_outcome::broken ? retry_delay(it.broken_rewards++)
                                                           : options_.initial_retry_delay);
}

std::optional<double> job_run::mean_interval(const tracked_item& it) const {
  if (it.current_phase != phase::running || it.run_events < options_.min_events_for_interval) {
    return std::nullopt;
  }
  const auto took = it.last_activity - it.run_started;
  return std::chrono::duration<double>(took).count() / it.run_events;
}

double job_run::median_interval() const {
  std::vector<double> intervals;
  for (const tracked_item& it : items_) {
    if (const auto value = mean_interval(it)) {
      intervals.push_back(*value);
    }
  }
  if (intervals.empty()) {
    return 0;
  }
  const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
  std::nth_element(intervals.begin(), middle, intervals.end());
  return *middle;
}

bool job_run::is_stalled(const tracked_item& it, double median, time_point now) const {
  const duration since_last_activity = now - it.last_activity;
  if (it.run_events == 0 || median == 0) {
    return since_last_activity > options_.first_event_timeout;
  }
  const auto limit = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(options_.stall_factor * median));
  return since_last_activity > std::max(limit, options_.min_stall_timeout);
}

std::vector<std::size_t> job_run::slow_runs(time_point now) const {
  const double median = median_interval();
  std::vector<std::size_t> slow;
  for (const std::size_t n : order_) {
    const tracked_item& it = items_[n];
    if (it.current_phase != phase::running) {
      continue;
    }
    const auto value = mean_interval(it);
    const bool too_slow = value && median > 0 && *value > options_.slow_factor * median;
    if (too_slow || is_stalled(it, median, now)) {
      slow.push_back(n);
    }
  }
  return slow;
}

std::vector<std::size_t> job_run::runs_with_events(int min_events) const {
  std::vector<std::size_t> list;
  for (std::size_t n = 0; n < items_.size(); ++n) {
    if (items_[n].current_phase == phase::running && items_[n].run_events >= min_events) {
      list.push_back(n);
    }
  }
  std::stable_sort(list.begin(), list.end(), [this](std::size_t a, std::size_t b) {
    return items_[a].last_event > items_[b].last_event;
  });
  return list;
}

void job_run::terminate_expired(wall_time wall, time_point now) {
  if (wall < job_.give_up) {
    return;
  }
  for (std::size_t n = 0; n < items_.size(); ++n) {
    if (items_[n].current_phase != phase::finished && items_[n].current_phase != phase::taken) {
      finish(n, item_state::terminated, now);
    }
  }
}

bool job_run::results_due(time_point now, duration time_to_due) const {
  unlisted_results unlisted;
  for (std::size_t n = 0; n < items_.size(); ++n) {
    if (items_[n].current_phase != phase::finished) {
      continue;
    }
    unlisted.oldest =
        unlisted.any ? std::min(unlisted.oldest, items_[n].finished_at) : items_[n].finished_at;
    unlisted.any = true;
    unlisted.has_complete_group = unlisted.has_complete_group || groups_.is_complete(n);
  }
  return listing_.is_due(unlisted, job_.desired_groups > 0, current_progress(), time_to_due, now);
}

step_progress job_run::current_progress() const {
  return groups_.progress(std::min(job_.desired_groups, groups_.group_count()));
}

bool job_run::listing_expected(duration limit, duration time_to_due) const {
  return job_.desired_groups > 0 && current_progress() != step_progress::complete &&
         listing_.is_due_within(limit, time_to_due);
}

std::vector<item_result> job_run::take_results(std::size_t max_bytes, time_point now) {
  const step_progress progress = current_progress();
  if (progress == step_progress::complete && !left_items_) {
    left_items_ = items_of_incomplete_groups();
  }
  listing_.listed(progress, now);
  std::vector<item_result> list;
  std::size_t bytes = 0;
  for (const std::size_t n : order_) {
    tracked_item& it = items_[n];
    if (it.current_phase != phase::finished) {
      continue;
    }
    const std::size_t size = it.text.size();
    if (!list.empty() && bytes + size > max_bytes) {
      break;
    }
    bytes += size;
    it.current_phase = phase::taken;
    item_result result;
    result.id = job_.items[n].id;
    result.state = it.outcome;
    if (it.outcome == item_state::done) {
      result.text = std::move(it.text);
      result.versions.assign(it.versions.begin(), it.versions.end());
      result.score = std::move(it.score);
    }
    // Releases the memory: texts are most of a job's footprint.
    release_memory(it.text);
    list.push_back(std::move(result));
  }
  return list;
}

std::vector<item_progress> job_run::take_new_progress(std::size_t max_bytes) {
  if (events_ - events_saved_ < options_.events_between_saves) {
    return {};
  }
  events_saved_ = events_;
  return progress(max_bytes);
}

bool job_run::is_worth_saving(const tracked_item& it) const {
  switch (it.current_phase) {
  case phase::waiting:
  case phase::running:
    return it.last_event && *it.last_event >= options_.min_saved_events;
  case phase::text_complete:
  case phase::scoring:
    return it.last_event && *it.last_event >= options_.min_saved_complete_events;
  case phase::finished:
    return it.outcome == item_state::done && it.last_event &&
           *it.last_event >= options_.min_saved_complete_events;
  case phase::taken:
    return false;
  }
  return false;
}

std::vector<item_progress> job_run::progress(std::size_t max_bytes) const {
  std::vector<saved_text> texts;
  for (std::size_t n = 0; n < items_.size(); ++n) {
    if (is_worth_saving(items_[n])) {
      texts.push_back({n, &items_[n].text});
    }
  }
  return to_progress(std::move(texts), max_bytes);
}

std::vector<item_progress> job_run::texts_for_next_step(std::size_t max_bytes,
                                                        const result_finder& listed) const {
  const std::vector<bool> left = left_items_ ? *left_items_ : items_of_incomplete_groups();
  std::vector<saved_text> texts;
  for (std::size_t n = 0; n < items_.size(); ++n) {
    const tracked_item& it = items_[n];
    if (!left[n] || !it.last_event) {
      continue;
    }
    if (it.current_phase != phase::taken) {
      texts.push_back({n, &it.text});
    } else if (const item_result* result = listed(job_.items[n].id);
               result != nullptr && result->state == item_state::done) {
      texts.push_back({n, &result->text});
    }
  }
  return to_progress(std::move(texts), max_bytes);
}

std::vector<bool> job_run::items_of_incomplete_groups() const {
  std::vector<bool> left(items_.size());
  for (std::size_t n = 0; n < items_.size(); ++n) {
    left[n] = !groups_.is_complete(n);
  }
  return left;
}

std::vector<item_progress> job_run::to_progress(std::vector<saved_text> texts,
                                                std::size_t max_bytes) const {
  std::stable_sort(texts.begin(), texts.end(), [this](const saved_text& a, const saved_text& b) {
    return *items_[a.item].last_event > *items_[b.item].last_event;
  });
  std::vector<item_progress> list;
  std::size_t bytes = 0;
  for (const saved_text& one : texts) {
    bytes += one.text->size();
    if (bytes > max_bytes) {
      break;
    }
    const tracked_item& it = items_[one.item];
    list.push_back({job_.items[one.item].id,
                    *one.text,
                    *it.last_event,
                    {it.versions.begin(), it.versions.end()},
                    it.software,
                    it.unverified});
  }
  return list;
}

bool job_run::all_finished() const {
  return unfinished() == 0;
}

std::size_t job_run::running() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const tracked_item& it) { return it.current_phase == phase::running; }));
}

std::size_t job_run::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const tracked_item& it) { return it.current_phase == phase::waiting; }));
}

std::size_t job_run::waiting_rewards() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(), [](const tracked_item& it) {
        return it.current_phase == phase::text_complete;
      }));
}

std::size_t job_run::unfinished() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const tracked_item& it) { return it.current_phase != phase::taken; }));
}

} // namespace boragedoor::jobs
