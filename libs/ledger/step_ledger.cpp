#include "ledger/step_ledger.h"

#include <algorithm>

#include "base/hash.h"

namespace boragedoor::ledger {

namespace {

void append_all(actions& out, std::vector<store_call> calls) {
  for (store_call& it : calls) {
    append(out, std::move(it));
  }
}

void append_optional(actions& out, std::optional<store_call> call) {
  if (call) {
    append(out, std::move(*call));
  }
}

} // namespace

step_ledger::step_ledger(std::string trainer, std::uint64_t step, std::uint64_t token,
                         std::uint64_t trainer_version, ledger_options options)
    : trainer_(std::move(trainer)), step_(step), token_(token), trainer_version_(trainer_version),
      options_(options), record_read_backoff_(options.retry_delay, options.max_retry_delay),
      builder_(options.batch_bytes, options.batch_linger),
      contents_(trainer_, step, options.retry_delay, options.max_retry_delay) {}

step_ledger step_ledger::create(std::string trainer, std::uint64_t step, std::uint64_t token,
                                std::uint64_t trainer_version, ledger_options options) {
  return {std::move(trainer), step, token, trainer_version, options};
}

// Samples and batches.

actions step_ledger::announce_version(time_point now, std::uint64_t version) {
  actions out;
  trainer_version_ = std::max(trainer_version_, version);
  advance(now, out);
  return out;
}

actions step_ledger::finish_sample(time_point now, sample_result result) {
  actions out;
  if (phase_ == phase::active) {
    if (const auto group = samples_.finish(now, std::move(result))) {
      builder_.add(now, *group);
    }
    advance(now, out);
  }
  return out;
}

actions step_ledger::fail_sample(time_point now, const sample_attempt& attempt) {
  actions out;
  if (phase_ == phase::active) {
    samples_.fail(now, attempt);
    advance(now, out);
  }
  return out;
}

void step_ledger::start_samples(time_point now, actions& out) {
  for (sample_attempt& it : samples_.start(now, options_.max_running)) {
    const auto group = std::ranges::find(record_.spec.groups, it.group, &group_spec::id);
    run_sample run;
    run.model = record_.spec.model;
    run.prompt = group->prompt;
    run.max_tokens = record_.spec.max_tokens;
    run.seed = hash64(step_key(trainer_, step_) + "/" + it.sample);
    run.attempt = std::move(it);
    out.emplace_back(std::move(run));
  }
}

void step_ledger::advance_batch(time_point now, actions& out) {
  if (pending_batch_ && contents_.write_status() == batch_contents::write_state::refused) {
    // A previous holder stored different content under this number without listing it. Use the next
    // number.
    ++next_batch_number_;
    write_batch(out);
  }
  if (pending_batch_) {
    return;
  }
  // Groups over the staleness bound would be voided before delivery; run them again instead of
  // writing them.
  const auto stale = [this](std::uint64_t least) { return exceeds_staleness_bound(least); };
  for (const std::string& group : builder_.remove_if(stale)) {
    samples_.rerun(group);
  }
  pending_batch_ = builder_.take_batch(now, samples_.all_finished(), may_build_partial_batch());
  if (pending_batch_) {
    write_batch(out);
  }
}

bool step_ledger::may_build_partial_batch() const {
  return record_.batches.size() < options_.max_partial_batches;
}

void step_ledger::write_batch(actions& out) {
  std::string content = batch_content(trainer_, step_, next_batch_number_, *pending_batch_);
  pending_entry_ = {};
  pending_entry_.n = next_batch_number_;
  pending_entry_.hash = sha256_hex(content);
  pending_entry_.count = pending_batch_->count;
  pending_entry_.parts = part_count(content.size());
  pending_entry_.groups = pending_batch_->groups;
  pending_entry_.least_version = pending_batch_->least_version;
  append(out, contents_.write(caller_, next_batch_number_, std::move(content)));
}

void step_ledger::erase_content(actions& out, std::uint64_t batch_number, std::uint32_t parts) {
  append_all(out, contents_.erase(caller_, batch_number, parts));
}

void step_ledger::erase_unlisted_contents(actions& out) {
  if (unlisted_contents_erased_ || !all_acknowledged()) {
    return;
  }
  unlisted_contents_erased_ = true;
  // Numbers missing from the record were skipped, or voided and deleted. No holder lists another
  // batch once all groups are acknowledged, so any content under these numbers is unused.
  for (std::uint64_t n = 1; n < next_batch_number_; ++n) {
    if (!std::ranges::binary_search(record_.batches, n, {}, &batch_entry::n)) {
      erase_content(out, n, 1);
    }
  }
}

void step_ledger::advance(time_point now, actions& out) {
  if (phase_ == phase::active) {
    advance_batch(now, out);
    start_samples(now, out);
    answer_polls(now, out);
    erase_unlisted_contents(out);
    if (!record_write_) {
      step_record next = compute_next_record();
      if (next != record_) {
        next.token = token_;
        write_record(out, std::move(next));
      }
    }
  } else {
    answer_polls(now, out);
  }
  answer_opens(out);
  answer_acknowledgements(out);
}

// Store results and timers.

actions step_ledger::finish_write(time_point now, const store_write_result& result) {
  actions out;
  if (phase_ == phase::stopped) {
    return out;
  }
  if (record_write_) {
    append_optional(out, record_write_->finish(now, result, caller_));
  }
  append_all(out, contents_.finish(now, result, caller_));
  finish_record_write(now, out);
  advance(now, out);
  return out;
}

actions step_ledger::finish_read(time_point now, const store_read_result& result) {
  actions out;
  if (phase_ == phase::stopped) {
    return out;
  }
  if (record_write_) {
    append_optional(out, record_write_->finish(now, result, caller_));
  }
  append_all(out, contents_.finish(now, result, caller_));
  finish_record_write(now, out);
  if (phase_ == phase::reading && result.call == record_read_call_ && record_read_call_ != 0) {
    record_read_call_ = 0;
    if (result.outcome == read_outcome::found) {
      parse_and_claim_record(now, out, result.value, result.version);
    } else if (result.outcome == read_outcome::unknown) {
      record_read_retry_at_ = now + record_read_backoff_.next();
    } else if (waiting_opens_.empty()) {
      phase_ = phase::absent;
    } else {
      create(out);
    }
  }
  advance(now, out);
  return out;
}

actions step_ledger::tick(time_point now) {
  actions out;
  if (phase_ == phase::stopped) {
    return out;
  }
  if (record_read_retry_at_ && now >= *record_read_retry_at_) {
    record_read_retry_at_.reset();
    read_record(out);
  }
  if (record_write_) {
    append_optional(out, record_write_->tick(now, caller_));
  }
  append_all(out, contents_.tick(now, caller_));
  advance(now, out);
  return out;
}

std::optional<time_point> step_ledger::next_wakeup() const {
  std::optional<time_point> at;
  const auto consider = [&at](const std::optional<time_point>& it) {
    if (it && (!at || *it < *at)) {
      at = it;
    }
  };
  consider(record_read_retry_at_);
  consider(contents_.next_wakeup());
  if (record_write_) {
    consider(record_write_->next_wakeup());
  }
  if (phase_ == phase::active && samples_.running() < options_.max_running) {
    consider(samples_.next_wakeup());
  }
  if (phase_ == phase::active && !pending_batch_ && may_build_partial_batch()) {
    consider(builder_.next_wakeup());
  }
  for (const waiting_poll& it : waiting_polls_) {
    consider(it.deadline);
  }
  return at;
}

} // namespace boragedoor::ledger
