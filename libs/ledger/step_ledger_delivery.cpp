// Computes the next step record, and answers polls and acknowledgements.

#include <algorithm>

#include "ledger/step_ledger.h"

namespace boragedoor::ledger {

step_record step_ledger::compute_next_record() const {
  step_record next = record_;
  apply_acknowledgements(next);
  list_pending_batch(next);
  void_unusable_batches(next);
  mark_next_batch_delivered(next);
  complete_if_all_deleted(next);
  if (next == record_) {
    return next;
  }
  // `deleted` flags are written only together with another change, to save store writes.
  for (batch_entry& it : next.batches) {
    it.deleted = it.deleted || contents_.erased(it.n);
  }
  std::erase_if(next.batches, [](const batch_entry& it) {
    return it.state == batch_state::voided && it.deleted;
  });
  return next;
}

void step_ledger::apply_acknowledgements(step_record& next) const {
  std::uint64_t up_to = 0;
  for (const waiting_poll& it : waiting_polls_) {
    up_to = std::max(up_to, it.after);
  }
  for (batch_entry& entry : next.batches) {
    const bool named = std::ranges::any_of(waiting_acknowledgements_,
                                           [&entry](const auto& it) { return it.n == entry.n; });
    if (entry.state == batch_state::delivered && (named || entry.n <= up_to)) {
      entry.state = batch_state::acknowledged;
    }
  }
}

void step_ledger::list_pending_batch(step_record& next) const {
  if (pending_batch_ && contents_.write_status() == batch_contents::write_state::stored) {
    next.batches.push_back(pending_entry_);
    next.last_batch = pending_entry_.n;
  }
}

void step_ledger::void_unusable_batches(step_record& next) const {
  for (batch_entry& it : next.batches) {
    const bool unusable = exceeds_staleness_bound(it.least_version) || contents_.damaged(it.n);
    if (unusable && can_void(it)) {
      it.state = batch_state::voided;
    }
  }
}

void step_ledger::mark_next_batch_delivered(step_record& next) const {
  if (waiting_polls_.empty()) {
    return;
  }
  const auto head = std::ranges::find_if(next.batches, [](const batch_entry& it) {
    return it.state == batch_state::listed || it.state == batch_state::delivered;
  });
  if (head != next.batches.end() && head->state == batch_state::listed) {
    head->state = batch_state::delivered;
    head->delivered_version = trainer_version_;
  }
}

void step_ledger::complete_if_all_deleted(step_record& next) const {
  if (!unlisted_contents_erased_ || !all_acknowledged()) {
    return;
  }
  const bool all_erased = std::ranges::all_of(
      next.batches, [this](const batch_entry& it) { return it.deleted || contents_.erased(it.n); });
  if (all_erased) {
    next.complete = true;
    next.batches.clear();
    next.spec.groups.clear();
  }
}

bool step_ledger::exceeds_staleness_bound(std::uint64_t least_version) const {
  return trainer_version_ > least_version &&
         trainer_version_ - least_version > record_.spec.staleness_bound;
}

bool step_ledger::can_void(const batch_entry& entry) const {
  // A batch that this holder marked as delivered but has not sent was not sent by any holder.
  return entry.state == batch_state::listed ||
         (entry.state == batch_state::delivered && unsent_batches_.contains(entry.n));
}

bool step_ledger::all_acknowledged() const {
  std::size_t groups = 0;
  for (const batch_entry& it : record_.batches) {
    if (it.state == batch_state::acknowledged) {
      groups += it.groups.size();
    }
  }
  return groups == record_.spec.groups.size();
}

// Polls.

actions step_ledger::poll(time_point now, std::uint64_t request, std::uint64_t after,
                          time_point deadline, std::uint64_t version) {
  actions out = recover(now);
  trainer_version_ = std::max(trainer_version_, version);
  waiting_polls_.push_back({request, after, deadline});
  advance(now, out);
  return out;
}

void step_ledger::cancel_poll(std::uint64_t request) {
  std::erase_if(waiting_polls_,
                [request](const waiting_poll& it) { return it.request == request; });
}

void step_ledger::answer_polls(time_point now, actions& out) {
  std::erase_if(waiting_polls_, [&](const waiting_poll& it) {
    if (answer_poll(now, out, it)) {
      return true;
    }
    if (now >= it.deadline) {
      out.emplace_back(batch_reply{it.request, batch_reply_kind::none_yet, 0, {}, {}});
      return true;
    }
    return false;
  });
}

bool step_ledger::answer_poll(time_point /*now*/, actions& out, const waiting_poll& waiting) {
  const auto refuse = [&out, &waiting](error_code code, std::string message) {
    out.emplace_back(batch_reply{
        waiting.request, batch_reply_kind::refused, 0, {}, error{code, std::move(message)}});
    return true;
  };
  if (phase_ == phase::stopped) {
    return refuse(stop_reason_.code, stop_reason_.message);
  }
  if (phase_ == phase::absent) {
    return refuse(error_code::not_found, "the step is not open; open it first");
  }
  const bool done = phase_ == phase::complete || (phase_ == phase::active && all_acknowledged());
  if (done) {
    out.emplace_back(batch_reply{waiting.request, batch_reply_kind::complete, 0, {}, {}});
    return true;
  }
  if (phase_ != phase::active) {
    return false;
  }
  const auto entry = std::ranges::find(record_.batches, waiting.after, &batch_entry::n);
  if (waiting.after != 0 &&
      (entry == record_.batches.end() || entry->state == batch_state::listed ||
       entry->state == batch_state::voided)) {
    return refuse(error_code::invalid_argument,
                  "the batch given in `after` has not been delivered");
  }
  // The acknowledgement of batch `after` must be stored first.
  if (waiting.after != 0 && entry->state == batch_state::delivered) {
    return false;
  }
  return deliver(out, waiting.request);
}

bool step_ledger::deliver(actions& out, std::uint64_t request) {
  const auto head = std::ranges::find_if(record_.batches, [](const batch_entry& it) {
    return it.state == batch_state::listed || it.state == batch_state::delivered;
  });
  if (head == record_.batches.end() || head->state == batch_state::listed) {
    return false;
  }
  const bool unusable = exceeds_staleness_bound(head->least_version) || contents_.damaged(head->n);
  if (unusable && can_void(*head)) {
    return false;
  }
  if (contents_.damaged(head->n)) {
    out.emplace_back(batch_reply{
        request,
        batch_reply_kind::refused,
        head->n,
        {},
        error{error_code::io, "the content of a delivered batch is missing or damaged in the "
                              "store; restore key " +
                                  batch_key(trainer_, step_, head->n)}});
    return true;
  }
  const std::string* content = contents_.find(head->n);
  if (content == nullptr) {
    if (auto call = contents_.read(caller_, *head)) {
      append(out, std::move(*call));
    }
    return false;
  }
  out.emplace_back(batch_reply{request, batch_reply_kind::batch, head->n, *content, {}});
  if (unsent_batches_.erase(head->n) != 0) {
    out.emplace_back(step_event{step_change::batch_delivered, head->n});
  }
  return true;
}

// Acknowledgements.

actions step_ledger::acknowledge(time_point now, std::uint64_t request,
                                 std::uint64_t batch_number) {
  actions out = recover(now);
  waiting_acknowledgements_.push_back({request, batch_number});
  advance(now, out);
  return out;
}

std::optional<result<void>> step_ledger::acknowledgement_outcome(std::uint64_t batch_number) const {
  using reply = result<void>;
  if (phase_ == phase::stopped) {
    return reply(stop_reason_);
  }
  if (phase_ == phase::absent) {
    return reply(error{error_code::not_found, "the step is not open"});
  }
  if (phase_ == phase::complete) {
    return batch_number <= record_.last_batch
               ? reply(success())
               : reply(error{error_code::not_found, "the step has no such batch"});
  }
  if (phase_ != phase::active) {
    return std::nullopt;
  }
  const auto entry = std::ranges::find(record_.batches, batch_number, &batch_entry::n);
  if (entry == record_.batches.end() || entry->state == batch_state::voided) {
    return reply(error{error_code::not_found, "the step has no such batch"});
  }
  if (entry->state == batch_state::listed) {
    return reply(error{error_code::conflict, "the batch has not been delivered yet"});
  }
  if (entry->state == batch_state::delivered) {
    return std::nullopt;
  }
  return reply(success());
}

void step_ledger::answer_acknowledgements(actions& out) {
  std::erase_if(waiting_acknowledgements_, [&](const waiting_acknowledgement& it) {
    auto reply = acknowledgement_outcome(it.n);
    if (reply) {
      out.emplace_back(acknowledge_reply{it.request, std::move(*reply)});
    }
    return reply.has_value();
  });
}

} // namespace boragedoor::ledger
