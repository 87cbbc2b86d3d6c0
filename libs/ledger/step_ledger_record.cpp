// Reads, creates, claims and writes the step record.

#include <algorithm>

#include "ledger/step_ledger.h"

namespace boragedoor::ledger {

actions step_ledger::open(time_point now, std::uint64_t request, step_spec spec) {
  actions out;
  if (auto ok = validate(spec); !ok) {
    out.emplace_back(open_reply{request, ok.error()});
    return out;
  }
  std::string hash = spec_hash(spec);
  waiting_opens_.push_back({request, std::move(spec), std::move(hash)});
  if (phase_ == phase::idle || phase_ == phase::absent) {
    create(out);
  }
  advance(now, out);
  return out;
}

actions step_ledger::recover(time_point /*now*/) {
  actions out;
  if (phase_ == phase::idle) {
    phase_ = phase::reading;
    read_record(out);
  }
  return out;
}

void step_ledger::read_record(actions& out) {
  store_get get = caller_.get(step_key(trainer_, step_));
  record_read_call_ = get.call;
  out.emplace_back(std::move(get));
}

void step_ledger::create(actions& out) {
  phase_ = phase::creating;
  const waiting_open& first = waiting_opens_.front();
  step_record created;
  created.trainer = trainer_;
  created.step = step_;
  created.hash = first.hash;
  created.spec = first.spec;
  created.token = token_;
  record_version_ = 0;
  write_record(out, std::move(created));
}

void step_ledger::parse_and_claim_record(time_point now, actions& out, const std::string& text,
                                         std::uint64_t version) {
  auto found = step_record_from_text(text);
  if (!found) {
    stop(out, found.error());
    return;
  }
  claim_record(now, out, std::move(found.value()), version);
}

void step_ledger::claim_record(time_point now, actions& out, step_record found,
                               std::uint64_t version) {
  if (found.token > token_) {
    stop(out, error{error_code::stale_token, "the step record was written by a newer holder"});
    return;
  }
  record_ = std::move(found);
  record_version_ = version;
  if (record_.complete) {
    phase_ = phase::complete;
    advance(now, out);
    return;
  }
  // Store this holder's token first. It changes the version of the record, so that any later
  // compare-and-swap write of a previous holder fails.
  phase_ = phase::claiming;
  step_record claimed = record_;
  claimed.token = token_;
  write_record(out, std::move(claimed));
}

void step_ledger::activate(time_point now, actions& out) {
  const bool created = phase_ == phase::creating;
  phase_ = phase::active;
  std::set<std::string> committed_groups;
  for (const batch_entry& it : record_.batches) {
    trainer_version_ = std::max(trainer_version_, it.delivered_version);
    if (it.state != batch_state::voided) {
      committed_groups.insert(it.groups.begin(), it.groups.end());
    }
    const bool gone = it.state == batch_state::voided || it.state == batch_state::acknowledged;
    if (gone && !it.deleted) {
      erase_content(out, it.n, it.parts);
    }
  }
  trainer_version_ = std::max(trainer_version_, record_.spec.weight_version);
  next_batch_number_ = record_.last_batch + 1;
  samples_ = sample_table(record_.spec.groups, committed_groups, token_, options_.retry_delay,
                          options_.max_retry_delay);
  out.emplace_back(step_event{created ? step_change::opened : step_change::recovered, 0});
  advance(now, out);
}

void step_ledger::answer_opens(actions& out) {
  if (phase_ != phase::active && phase_ != phase::complete && phase_ != phase::stopped) {
    return;
  }
  for (const waiting_open& it : waiting_opens_) {
    open_reply reply{it.request, success()};
    if (phase_ == phase::stopped) {
      reply.outcome = stop_reason_;
    } else if (it.hash != record_.hash) {
      reply.outcome =
          error{error_code::conflict,
                "the step exists with a different specification; use a new step number"};
    }
    out.emplace_back(std::move(reply));
  }
  waiting_opens_.clear();
}

void step_ledger::stop(actions& out, error reason) {
  phase_ = phase::stopped;
  stop_reason_ = reason;
  out.emplace_back(step_stopped{std::move(reason)});
  answer_opens(out);
  answer_acknowledgements(out);
  answer_polls({}, out);
}

// Writing the record.

void step_ledger::write_record(actions& out, step_record next) {
  next_record_ = std::move(next);
  record_write_.emplace(step_key(trainer_, step_), to_text(next_record_), record_version_,
                        backoff(options_.retry_delay, options_.max_retry_delay));
  append(out, record_write_->start(caller_));
}

void step_ledger::finish_record_write(time_point now, actions& out) {
  if (!record_write_ || record_write_->status() == cas_write::state::busy) {
    return;
  }
  const cas_write write = std::move(*record_write_);
  record_write_.reset();
  if (write.read_back()) {
    out.emplace_back(step_event{step_change::readback, 0});
  }
  if (write.status() == cas_write::state::written) {
    handle_record_written(now, out, write);
  } else {
    handle_record_conflict(now, out, write);
  }
}

void step_ledger::handle_record_conflict(time_point now, actions& out, const cas_write& write) {
  if (phase_ == phase::active) {
    stop(out, error{error_code::stale_token, "another holder has written the step record"});
  } else if (write.version() == 0) {
    stop(out, error{error_code::not_found, "the step record was deleted"});
  } else {
    parse_and_claim_record(now, out, write.found(), write.version());
  }
}

void step_ledger::handle_record_written(time_point now, actions& out, const cas_write& write) {
  const step_record before = std::move(record_);
  record_ = std::move(next_record_);
  record_version_ = write.version();
  if (phase_ != phase::active) {
    activate(now, out);
    return;
  }
  if (pending_batch_ && record_.last_batch >= pending_entry_.n) {
    pending_batch_.reset();
    contents_.end_write();
    next_batch_number_ = record_.last_batch + 1;
    out.emplace_back(step_event{step_change::batch_committed, pending_entry_.n});
  }
  for (const batch_entry& it : record_.batches) {
    const auto old = std::ranges::find(before.batches, it.n, &batch_entry::n);
    batch_entry fresh = it;
    fresh.state = batch_state::listed;
    handle_batch_state_change(out, old == before.batches.end() ? fresh : *old, it);
  }
  if (record_.complete) {
    phase_ = phase::complete;
    out.emplace_back(step_event{step_change::completed, record_.last_batch});
  }
  advance(now, out);
}

void step_ledger::handle_batch_state_change(actions& out, const batch_entry& before,
                                            const batch_entry& after) {
  if (before.state == after.state) {
    return;
  }
  if (after.state == batch_state::delivered) {
    unsent_batches_.insert(after.n);
    return;
  }
  unsent_batches_.erase(after.n);
  erase_content(out, after.n, after.parts);
  if (after.state == batch_state::acknowledged) {
    out.emplace_back(step_event{step_change::batch_acknowledged, after.n});
    return;
  }
  out.emplace_back(step_event{step_change::batch_voided, after.n});
  for (const std::string& group : after.groups) {
    samples_.rerun(group);
  }
}

} // namespace boragedoor::ledger
