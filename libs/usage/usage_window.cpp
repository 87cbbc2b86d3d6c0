#include "usage/usage_window.h"

#include <algorithm>

namespace boragedoor::usage {

namespace {

/// Frozen windows kept in memory; older ones are read from the store when they are needed.
constexpr std::size_t remembered_windows = 16;

wall_time end_of(std::uint64_t window, duration length) {
  return wall_time(length * static_cast<std::int64_t>(window + 1));
}

/// The frozen document of a window. Sources that do not fit the store value are left out: they are
/// told so, and their usage counts in the next window as late.
std::string frozen_text(frozen_window& it) {
  std::string text = to_text(it);
  while (text.size() > max_store_value_bytes) {
    it.included.erase(std::prev(it.included.end()));
    text = to_text(it);
  }
  return text;
}

/// The checkpoint, without the newest windows if it does not fit the store value. Only counters of
/// processes that have died since depend on it.
std::string fit(usage_checkpoint& it) {
  std::string text = to_text(it);
  while (text.size() > max_store_value_bytes && !it.open.empty()) {
    it.open.erase(std::prev(it.open.end()));
    text = to_text(it);
  }
  return text;
}

} // namespace

usage_window::usage_window(std::uint32_t shard, std::uint64_t token, window_options options)
    : shard_(shard), token_(token), options_(options) {
  state_.token = token;
}

usage_window usage_window::create(std::uint32_t shard, std::uint64_t token,
                                  window_options options) {
  return {shard, token, options};
}

// The checkpoint.

actions usage_window::start(time_point now) {
  actions out;
  started_ = now;
  read_checkpoint(out);
  return out;
}

void usage_window::read_checkpoint(actions& out) {
  store_get get = caller_.get(checkpoint_key(shard_));
  checkpoint_read_ = get.call;
  out.emplace_back(std::move(get));
}

void usage_window::checkpoint_found(time_point now, actions& out, const store_read_result& result) {
  checkpoint_read_ = 0;
  if (result.outcome == read_outcome::unknown) {
    read_again_at_ = now + read_delay_.next();
    return;
  }
  checkpoint_version_ = result.outcome == read_outcome::found ? result.version : 0;
  if (result.outcome == read_outcome::found) {
    merge_checkpoint(out, result.value);
  }
  claim(now, out);
}

void usage_window::merge_checkpoint(actions& out, const std::string& text) {
  const auto read = usage_checkpoint_from_text(text);
  if (!read) {
    out.emplace_back(window_note{window_change::damaged, 0});
    return;
  }
  if (read.value().token > token_) {
    stop(out);
    return;
  }
  for (const auto& [window, counters] : read.value().open) {
    if (frozen_.contains(window)) {
      continue;
    }
    for (const auto& [source, found] : counters) {
      source_counters& mine = state_.open[window][source];
      if (found.sequence > mine.sequence) {
        mine = found;
      }
    }
  }
  for (const std::uint64_t window : read.value().unreported) {
    state_.unreported.insert(window);
    add_report(window);
  }
}

void usage_window::claim(time_point now, actions& out) {
  // Writing the own token makes every later checkpoint of a former holder fail.
  if (!stopped_) {
    write_checkpoint(now, out);
  }
}

void usage_window::write_checkpoint(time_point now, actions& out) {
  changed_ = false;
  next_checkpoint_ = now + options_.checkpoint_interval;
  usage_checkpoint written = state_;
  checkpoint_write_.emplace(checkpoint_key(shard_), fit(written), checkpoint_version_);
  written_windows_.clear();
  for (const auto& [window, counters] : written.open) {
    written_windows_.insert(window);
  }
  append(out, checkpoint_write_->start(caller_));
}

void usage_window::settle_checkpoint(actions& out) {
  if (!checkpoint_write_ || checkpoint_write_->status() == cas_write::state::busy) {
    return;
  }
  const cas_write write = std::move(*checkpoint_write_);
  checkpoint_write_.reset();
  if (write.read_back()) {
    out.emplace_back(window_note{window_change::readback, 0});
  }
  checkpoint_version_ = write.version();
  if (write.status() == cas_write::state::written) {
    claimed_ = true;
    durable_windows_ = std::move(written_windows_);
    return;
  }
  // A former holder wrote before this one's claim, or a newer one has taken over.
  if (claimed_ && write.version() != 0) {
    stop(out);
    return;
  }
  changed_ = true;
  next_checkpoint_ = {};
  if (write.version() != 0) {
    merge_checkpoint(out, write.found());
  }
}

void usage_window::stop(actions& out) {
  if (!stopped_) {
    stopped_ = true;
    out.emplace_back(
        window_stopped{error{error_code::stale_token, "the usage shard has a newer holder"}});
  }
}

bool usage_window::checkpointed() const {
  return claimed_ && !changed_ && !checkpoint_write_;
}

// Flushes.

actions usage_window::flush(time_point /*now*/, const usage_flush& it) {
  actions out;
  if (stopped_ || it.shard != shard_) {
    return out;
  }
  for (const auto& [window, table] : it.windows) {
    merge_window(out, it, window, table);
  }
  out.emplace_back(usage_flush_merged{it.source, shard_, it.sequence, token_});
  return out;
}

void usage_window::merge_window(actions& out, const usage_flush& it, std::uint64_t window,
                                const usage_table& table) {
  if (const auto frozen = frozen_.find(window); frozen != frozen_.end()) {
    window_counters only;
    only.try_emplace(it.source);
    frozen_window for_source = frozen->second;
    std::erase_if(for_source.included, [&it](const auto& each) { return each.first != it.source; });
    tell_sources(out, for_source, only);
    return;
  }
  source_counters& mine = state_.open[window][it.source];
  if (it.sequence > mine.sequence) {
    mine = {it.sequence, table};
    changed_ = true;
  }
}

// Freezing.

void usage_window::freeze_due(time_point now, wall_time wall, actions& out) {
  if (!claimed_ || now < started_ + options_.takeover_wait) {
    return;
  }
  for (const auto& [window, counters] : state_.open) {
    const wall_time due = end_of(window, options_.window_length) + options_.grace;
    // The next holder must know of the window, or nobody would report it.
    const bool durable = durable_windows_.contains(window);
    if (wall < due || !durable || freezes_.contains(window)) {
      continue;
    }
    frozen_window document{shard_, window, report_id(window, shard_), counters};
    const auto it =
        freezes_.try_emplace(window, frozen_key(window, shard_), frozen_text(document), 0);
    append(out, it.first->second.start(caller_));
  }
}

void usage_window::settle_freezes(actions& out) {
  for (auto it = freezes_.begin(); it != freezes_.end();) {
    if (it->second.status() == cas_write::state::busy) {
      ++it;
      continue;
    }
    const std::uint64_t window = it->first;
    const cas_write write = std::move(it->second);
    it = freezes_.erase(it);
    if (write.read_back()) {
      out.emplace_back(window_note{window_change::readback, window});
    }
    // Another holder may have frozen the window with other figures; those are the ones that count.
    const bool written = write.status() == cas_write::state::written;
    adopt_frozen(out, written ? write.value() : write.found(), window);
  }
}

void usage_window::adopt_frozen(actions& out, const std::string& text, std::uint64_t window) {
  auto read = frozen_window_from_text(text);
  const window_counters mine = std::exchange(state_.open[window], {});
  state_.open.erase(window);
  changed_ = true;
  if (!read || read.value().window != window || read.value().shard != shard_) {
    out.emplace_back(window_note{window_change::damaged, window});
    return;
  }
  tell_sources(out, read.value(), mine);
  out.emplace_back(window_note{window_change::frozen, window});
  state_.unreported.insert(window);
  add_report(window).document = read.value();
  frozen_[window] = std::move(read.value());
  if (frozen_.size() > remembered_windows) {
    frozen_.erase(frozen_.begin());
  }
}

void usage_window::tell_sources(actions& out, const frozen_window& it,
                                const window_counters& also) {
  for (const auto& [source, counters] : it.included) {
    out.emplace_back(usage_window_frozen{source, shard_, it.window, counters.table});
  }
  for (const auto& [source, counters] : also) {
    if (!it.included.contains(source)) {
      out.emplace_back(usage_window_frozen{source, shard_, it.window, {}});
    }
  }
}

// Reports.

usage_window::report_state& usage_window::add_report(std::uint64_t window) {
  const auto [it, added] = reports_.try_emplace(window);
  if (added) {
    it->second.delay = backoff(options_.report_retry, options_.max_report_retry);
  }
  return it->second;
}

void usage_window::report_due(time_point now, actions& out) {
  for (auto& [window, it] : reports_) {
    if (it.outstanding || it.read_call != 0 || now < it.next_at) {
      continue;
    }
    if (!it.document) {
      store_get get = caller_.get(frozen_key(window, shard_));
      it.read_call = get.call;
      out.emplace_back(std::move(get));
      continue;
    }
    it.outstanding = true;
    out.emplace_back(send_report{it.document->report_id, window, report_body(*it.document)});
  }
}

bool usage_window::report_read(time_point now, actions& out, const store_read_result& result) {
  const auto it = std::ranges::find_if(
      reports_, [&result](const auto& each) { return each.second.read_call == result.call; });
  if (result.call == 0 || it == reports_.end()) {
    return false;
  }
  report_state& report = it->second;
  report.read_call = 0;
  report.next_at = now;
  if (result.outcome == read_outcome::found) {
    if (auto read = frozen_window_from_text(result.value)) {
      report.document = std::move(read.value());
      return true;
    }
  }
  if (result.outcome != read_outcome::unknown) {
    out.emplace_back(window_note{window_change::damaged, it->first});
  }
  report.next_at = now + report.delay.next();
  return true;
}

actions usage_window::finish_report(time_point now, const std::string& id, bool confirmed) {
  actions out;
  const auto it = std::ranges::find_if(reports_, [&id](const auto& each) {
    return each.second.outstanding && each.second.document->report_id == id;
  });
  if (stopped_ || it == reports_.end()) {
    return out;
  }
  if (!confirmed) {
    it->second.outstanding = false;
    it->second.next_at = now + it->second.delay.next();
    return out;
  }
  out.emplace_back(window_note{window_change::reported, it->first});
  state_.unreported.erase(it->first);
  reports_.erase(it);
  changed_ = true;
  return out;
}

// Results and time.

template <class Result>
void usage_window::finish_call(time_point now, actions& out, const Result& result) {
  const auto feed = [&](cas_write& write) {
    if (auto call = write.finish(now, result, caller_)) {
      append(out, std::move(*call));
    }
  };
  if (checkpoint_write_) {
    feed(*checkpoint_write_);
  }
  for (auto& [window, write] : freezes_) {
    feed(write);
  }
  settle_checkpoint(out);
  settle_freezes(out);
}

actions usage_window::finish_write(time_point now, const store_write_result& result) {
  actions out;
  if (!stopped_) {
    finish_call(now, out, result);
  }
  return out;
}

actions usage_window::finish_read(time_point now, const store_read_result& result) {
  actions out;
  if (stopped_) {
    return out;
  }
  if (checkpoint_read_ != 0 && result.call == checkpoint_read_) {
    checkpoint_found(now, out, result);
  } else if (!report_read(now, out, result)) {
    finish_call(now, out, result);
  }
  return out;
}

actions usage_window::tick(time_point now, wall_time wall, bool may_report) {
  actions out;
  if (stopped_) {
    return out;
  }
  if (read_again_at_ && now >= *read_again_at_) {
    read_again_at_.reset();
    read_checkpoint(out);
  }
  const auto wake = [&](cas_write& write) {
    if (auto call = write.tick(now, caller_)) {
      append(out, std::move(*call));
    }
  };
  if (checkpoint_write_) {
    wake(*checkpoint_write_);
  }
  for (auto& [window, write] : freezes_) {
    wake(write);
  }
  const bool reading = checkpoint_read_ != 0 || read_again_at_;
  if (!reading && !checkpoint_write_ && changed_ && now >= next_checkpoint_) {
    write_checkpoint(now, out);
  }
  freeze_due(now, wall, out);
  if (may_report) {
    report_due(now, out);
  }
  return out;
}

} // namespace boragedoor::usage
