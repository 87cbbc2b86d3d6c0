#include "ledger/sample_table.h"

#include <algorithm>
#include <charconv>

namespace boragedoor::ledger {

std::optional<std::uint32_t> sample_index(const sample_attempt& attempt) {
  const std::string& id = attempt.sample;
  const std::size_t start = attempt.group.size() + 1;
  if (id.size() <= start || !id.starts_with(attempt.group) || id[start - 1] != '/') {
    return std::nullopt;
  }
  std::uint32_t index = 0;
  const char* end = id.data() + id.size();
  const auto [last, ec] = std::from_chars(id.data() + start, end, index);
  if (ec != std::errc() || last != end) {
    return std::nullopt;
  }
  return index;
}

namespace {

/// Whether the result can be delivered: it has an error or at least one valid weight version.
bool has_versions_or_error(const sample_result& it) {
  return !it.error.empty() ||
         (!it.weight_versions.empty() && std::ranges::max(it.weight_versions) < no_version);
}

} // namespace

sample_table::sample_table(const std::vector<group_spec>& groups,
                           const std::set<std::string>& committed_groups, std::uint64_t token,
                           duration retry_delay, duration max_retry_delay)
    : token_(token) {
  for (const group_spec& it : groups) {
    group added;
    added.samples.resize(it.size);
    for (sample& each : added.samples) {
      each.delay = backoff(retry_delay, max_retry_delay);
    }
    const auto [entry, inserted] = groups_.emplace(it.id, std::move(added));
    if (committed_groups.contains(it.id)) {
      for (sample& each : entry->second.samples) {
        each.state = sample_state::finished;
      }
    } else {
      rerun(it.id);
    }
  }
}

void sample_table::rerun(const std::string& id) {
  const auto it = groups_.find(id);
  if (it == groups_.end() || it->second.unfinished != 0) {
    return;
  }
  group& again = it->second;
  again.unfinished = static_cast<std::uint32_t>(again.samples.size());
  unfinished_samples_ += again.unfinished;
  for (std::uint32_t n = 0; n < again.samples.size(); ++n) {
    again.samples[n].state = sample_state::waiting;
    again.samples[n].result = {};
    waiting_.emplace(time_point{}, sample_position{id, n});
  }
}

std::vector<sample_attempt> sample_table::start(time_point now, std::uint32_t max_running) {
  std::vector<sample_attempt> started;
  while (running_ < max_running && !waiting_.empty() && waiting_.begin()->first <= now) {
    const sample_position at = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    sample& it = groups_.at(at.group).samples[at.index];
    it.state = sample_state::running;
    ++it.attempt;
    ++running_;
    started.push_back({at.group + "/" + std::to_string(at.index), at.group, token_, it.attempt});
  }
  return started;
}

sample_table::sample* sample_table::find_running(const sample_attempt& attempt) {
  const auto it = groups_.find(attempt.group);
  const auto index = sample_index(attempt);
  if (it == groups_.end() || !index || *index >= it->second.samples.size()) {
    return nullptr;
  }
  sample& found = it->second.samples[*index];
  const bool current = found.state == sample_state::running && found.attempt == attempt.attempt &&
                       attempt.token == token_;
  return current ? &found : nullptr;
}

std::optional<finished_group> sample_table::finish(time_point now, sample_result result) {
  sample* it = find_running(result.attempt);
  if (it == nullptr) {
    return std::nullopt;
  }
  if (!has_versions_or_error(result)) {
    fail(now, result.attempt);
    return std::nullopt;
  }
  const std::string id = result.attempt.group;
  it->state = sample_state::finished;
  it->delay.reset();
  it->result = std::move(result);
  --running_;
  --unfinished_samples_;
  group& in = groups_.at(id);
  if (--in.unfinished != 0) {
    return std::nullopt;
  }
  return take_results(id, in);
}

finished_group sample_table::take_results(const std::string& id, group& source) {
  finished_group done{id, {}};
  for (sample& each : source.samples) {
    done.samples.push_back(std::move(each.result));
    each.result = {};
  }
  return done;
}

void sample_table::fail(time_point now, const sample_attempt& attempt) {
  sample* it = find_running(attempt);
  if (it == nullptr) {
    return;
  }
  it->state = sample_state::waiting;
  --running_;
  waiting_.emplace(now + it->delay.next(), sample_position{attempt.group, *sample_index(attempt)});
}

std::optional<time_point> sample_table::next_wakeup() const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  return waiting_.begin()->first;
}

} // namespace boragedoor::ledger
