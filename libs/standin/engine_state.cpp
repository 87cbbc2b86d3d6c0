#include "standin/engine_state.h"

#include <algorithm>
#include <utility>

namespace boragedoor::standin {

namespace {

duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

engine_state::engine_state(engine_settings settings)
    : settings_(std::move(settings)), cache_(settings_.cache_events),
      weight_version_(settings_.weight_version), role_(settings_.role) {}

std::uint64_t engine_state::submit(engine_request it, time_point now) {
  const generated_text text(it.prompt, it.seed);
  const auto resume = text.find_resume_point(it.resume_text);
  job next{++last_id_, std::move(it), text};
  next.index = resume.index;
  next.first_index = resume.index;
  next.skip_bytes = resume.bytes;
  next.end_index = std::min(text.natural_length(), next.request.max_tokens);
  const auto place = std::find_if(queue_.begin(), queue_.end(), [&](const job& other) {
    return other.request.priority < next.request.priority;
  });
  queue_.insert(place, std::move(next));
  admit(now);
  changed(now);
  return last_id_;
}

void engine_state::cancel(std::uint64_t id, time_point now) {
  const auto has_id = [id](const job& it) { return it.id == id; };
  std::erase_if(queue_, has_id);
  std::erase_if(running_, has_id);
  admit(now);
  changed(now);
}

std::vector<engine_event> engine_state::advance(time_point now) {
  for (auto due = next_due(); due && *due <= now; due = next_due()) {
    if (!swaps_.empty()) {
      end_swap(*due);
    } else {
      step(*due);
    }
  }
  return std::exchange(events_, {});
}

std::optional<time_point> engine_state::next_due() const {
  // Output pauses while a version is loaded.
  return swaps_.empty() ? next_step_ : std::optional(swap_end_);
}

void engine_state::start_swap(const std::string& order_id, std::int64_t version, bool fails,
                              time_point now) {
  if (swaps_.empty()) {
    swap_end_ = now + settings_.swap_time;
  }
  swaps_.push_back({order_id, version, fails});
}

void engine_state::end_swap(time_point now) {
  const swap it = swaps_.front();
  swaps_.pop_front();
  if (!it.fails) {
    weight_version_ = it.version;
  }
  events_.emplace_back(swap_finished{it.order_id, !it.fails});
  if (!swaps_.empty()) {
    swap_end_ = now + settings_.swap_time;
  } else if (next_step_) {
    next_step_ = std::max(*next_step_, now);
  }
  changed(now);
}

void engine_state::set_role(const std::string& role, time_point now) {
  role_ = role;
  draining_ = false;
  changed(now);
}

void engine_state::drain(time_point now) {
  draining_ = true;
  changed(now);
}

void engine_state::crash(time_point now) {
  queue_.clear();
  running_.clear();
  swaps_.clear();
  events_.clear();
  adapters_.clear();
  cache_.clear();
  next_step_.reset();
  weight_version_ = settings_.weight_version;
  role_ = settings_.role;
  draining_ = false;
  loads_.clear();
  changed(now);
}

void engine_state::admit(time_point now) {
  while (running_.size() < settings_.max_batch && !queue_.empty()) {
    job it = std::move(queue_.front());
    queue_.pop_front();
    it.cached_tokens = cache_.use(it.request.prompt, now);
    const auto fresh = static_cast<double>(it.prompt_size() - it.cached_tokens);
    it.prompt_done = now + from_seconds(fresh / settings_.prompt_tokens_per_second);
    events_.emplace_back(request_started{it.id});
    running_.push_back(std::move(it));
  }
  plan_step(now);
}

void engine_state::step(time_point now) {
  std::vector<job> still_running;
  for (job& it : running_) {
    if (it.prompt_done <= now && it.index < it.end_index) {
      make_token(it);
    }
    if (it.prompt_done <= now && it.index >= it.end_index) {
      finish(it);
    } else {
      still_running.push_back(std::move(it));
    }
  }
  running_ = std::move(still_running);
  next_step_.reset();
  admit(now);
  changed(now);
}

void engine_state::make_token(job& it) {
  std::string text = it.text.token(it.index);
  text.erase(0, it.skip_bytes);
  it.skip_bytes = 0;
  if (it.weight_versions.empty() || it.weight_versions.back() != weight_version_) {
    it.weight_versions.push_back(weight_version_);
  }
  events_.emplace_back(token_made{it.id, it.index, std::move(text), weight_version_});
  ++it.index;
}

void engine_state::finish(const job& it) {
  const bool natural = it.end_index == it.text.natural_length();
  events_.emplace_back(request_finished{it.id, natural ? "stop" : "length", it.weight_versions,
                                        it.prompt_size(), it.index - it.first_index,
                                        it.cached_tokens});
}

void engine_state::plan_step(time_point now) {
  if (running_.empty()) {
    next_step_.reset();
    return;
  }
  const auto producing = static_cast<std::size_t>(std::count_if(
      running_.begin(), running_.end(), [&](const job& it) { return it.prompt_done <= now; }));
  if (producing > 0) {
    // A step that is planned already stays: requests that join must not postpone it.
    next_step_ = next_step_.value_or(now + step_time(producing));
    return;
  }
  const auto first =
      std::min_element(running_.begin(), running_.end(), [](const job& left, const job& right) {
        return left.prompt_done < right.prompt_done;
      });
  next_step_ = first->prompt_done;
}

duration engine_state::step_time(std::size_t n) const {
  // At least one microsecond, so that `advance` always moves on.
  return std::max({duration(1), settings_.token_interval,
                   from_seconds(static_cast<double>(n) / settings_.tokens_per_second)});
}

std::int64_t engine_state::running_tokens() const {
  std::int64_t sum = 0;
  for (const job& it : running_) {
    sum += it.prompt_size() + it.index - it.first_index;
  }
  return sum;
}

void engine_state::changed(time_point now) {
  const std::int64_t in_use = running_tokens();
  cache_.shrink(std::max<std::int64_t>(0, settings_.kv_total - in_use), now);
  const double rate = running_.empty()
                          ? 0
                          : static_cast<double>(running_.size()) /
                                std::chrono::duration<double>(step_time(running_.size())).count();
  loads_.push_back({running_.size(), queue_.size(), in_use + cache_.tokens(), rate, weight_version_,
                    role_, draining_, now});
  while (loads_.size() > 1 && loads_[1].as_of + settings_.load_lag <= now) {
    loads_.pop_front();
  }
}

engine_load engine_state::load(time_point now) {
  while (loads_.size() > 1 && loads_[1].as_of + settings_.load_lag <= now) {
    loads_.pop_front();
  }
  if (loads_.empty()) {
    changed(now);
  }
  engine_load it = loads_.front();
  // The figures held from their change until the reported moment.
  it.as_of = std::max(it.as_of, now - settings_.load_lag);
  return it;
}

} // namespace boragedoor::standin
