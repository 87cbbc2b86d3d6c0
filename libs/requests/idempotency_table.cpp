#include "requests/idempotency_table.h"

#include <algorithm>

namespace boragedoor::requests {

namespace {

/// How long to wait for the store to confirm a release at the deadline. The store normally responds
/// within milliseconds.
constexpr duration release_timeout = seconds(1);

void append_call(idempotency_actions& actions, std::optional<store_call> call) {
  if (call) {
    append(actions, std::move(*call));
  }
}

} // namespace

std::string_view to_string(idempotency_status status) {
  switch (status) {
  case idempotency_status::answer:
    return "answer";
  case idempotency_status::in_progress:
    return "in_progress";
  case idempotency_status::outcome_unknown:
    return "outcome_unknown";
  case idempotency_status::key_conflict:
    return "conflict";
  case idempotency_status::not_executed:
    return "not_executed";
  case idempotency_status::store_unavailable:
    return "store_unavailable";
  }
  return "unknown";
}

idempotency_table::idempotency_table(std::string instance, std::string boot,
                                     idempotency_options options)
    : instance_(std::move(instance)), boot_(std::move(boot)), options_(options) {}

idempotency_table idempotency_table::create(std::string instance, std::string boot,
                                            idempotency_options options) {
  return {std::move(instance), std::move(boot), options};
}

idempotency_table::pending_call* idempotency_table::find(std::uint64_t id, call_phase phase) {
  const auto it = calls_.find(id);
  return it == calls_.end() || it->second.phase != phase ? nullptr : &it->second;
}

void idempotency_table::reply(idempotency_actions& actions, pending_call& pending,
                              idempotency_status status, stored_response response) {
  if (!pending.replied) {
    pending.replied = true;
    actions.emplace_back(idempotency_reply{pending.call.id, status, std::move(response)});
  }
}

void idempotency_table::write(idempotency_actions& actions, pending_call& pending,
                              idempotency_state state, std::uint64_t expect_version) {
  pending.record.state = state;
  pending.write.emplace(
      idempotency_record_key(pending.call.workspace, pending.call.idempotency_key),
      to_text(pending.record), expect_version);
  append(actions, pending.write->start(store_caller_));
}

void idempotency_table::claim(idempotency_actions& actions, pending_call& pending,
                              std::uint64_t expect_version) {
  pending.phase = call_phase::claiming;
  // Each attempt writes a new claim id, so that an earlier write that takes effect late is not
  // mistaken for this one.
  pending.record.claim = instance_ + "/" + boot_ + "/" + std::to_string(++last_claim_);
  write(actions, pending,
        pending.call.send_at_once ? idempotency_state::sent : idempotency_state::claimed,
        expect_version);
}

idempotency_actions idempotency_table::begin(time_point /*now*/, wall_time wall,
                                             idempotency_call call) {
  idempotency_actions actions;
  const std::uint64_t id = call.id;
  const auto [entry, inserted] = calls_.try_emplace(id);
  if (inserted) {
    pending_call& pending = entry->second;
    pending.record.body_hash = call.body_hash;
    pending.record.created = wall;
    pending.record.deadline = call.wall_deadline;
    pending.reply_deadline = std::min(call.claim_deadline, call.deadline);
    pending.call = std::move(call);
    claim(actions, pending, 0);
  }
  return actions;
}

idempotency_actions idempotency_table::mark_sent(time_point /*now*/, std::uint64_t id) {
  idempotency_actions actions;
  if (pending_call* pending = find(id, call_phase::claimed)) {
    pending->phase = call_phase::marking;
    write(actions, *pending, idempotency_state::sent, pending->version);
  }
  return actions;
}

void idempotency_table::write_final(idempotency_actions& actions, pending_call& pending,
                                    idempotency_state state) {
  pending.phase = call_phase::finalizing;
  write(actions, pending, state, pending.version);
}

idempotency_actions idempotency_table::finish(time_point /*now*/, std::uint64_t id,
                                              stored_response response) {
  idempotency_actions actions;
  if (pending_call* pending = find(id, call_phase::sent)) {
    reply(actions, *pending, idempotency_status::answer, response);
    if (response.body.size() > max_stored_response_bytes) {
      response.body.clear();
      response.omitted = true;
    }
    pending->record.response = std::move(response);
    write_final(actions, *pending, idempotency_state::done);
  }
  return actions;
}

idempotency_actions idempotency_table::finish_unknown(time_point /*now*/, std::uint64_t id) {
  idempotency_actions actions;
  if (pending_call* pending = find(id, call_phase::sent)) {
    reply(actions, *pending, idempotency_status::outcome_unknown);
    write_final(actions, *pending, idempotency_state::unknown);
  }
  return actions;
}

void idempotency_table::handle_written(idempotency_actions& actions, pending_call& pending) {
  if (pending.release_requested) {
    release(actions, pending);
  } else if (pending.record.state == idempotency_state::sent) {
    pending.phase = call_phase::sent;
    pending.reply_deadline = pending.call.deadline;
    actions.emplace_back(send_request{pending.call.id});
  } else {
    pending.phase = call_phase::claimed;
    actions.emplace_back(request_claimed{pending.call.id});
  }
}

void idempotency_table::handle_conflict(wall_time wall, idempotency_actions& actions,
                                        pending_call& pending, const cas_write& write) {
  if (write.version() != 0) {
    apply_existing_record(wall, actions, pending, write.found(), write.version());
  } else if (pending.release_requested) {
    reply(actions, pending, idempotency_status::not_executed);
  } else {
    // The record to update has expired or was released.
    claim(actions, pending, 0);
  }
}

void idempotency_table::apply_existing_record(wall_time wall, idempotency_actions& actions,
                                              pending_call& pending, const std::string& text,
                                              std::uint64_t version) {
  const auto read = idempotency_record_from_text(text);
  if (!read) {
    reply(actions, pending, idempotency_status::outcome_unknown);
    return;
  }
  const idempotency_record& found = read.value();
  const bool running = wall < found.deadline;
  const bool outcome_unknown = found.state == idempotency_state::unknown ||
                               (found.state == idempotency_state::sent && !running);
  if (found.body_hash != pending.record.body_hash) {
    reply(actions, pending, idempotency_status::key_conflict);
  } else if (found.state == idempotency_state::done) {
    reply(actions, pending, idempotency_status::answer, found.response);
  } else if (outcome_unknown) {
    reply(actions, pending, idempotency_status::outcome_unknown);
  } else if (running || pending.release_requested) {
    reply(actions, pending, idempotency_status::in_progress);
  } else {
    claim(actions, pending, version);
  }
}

bool idempotency_table::complete_write(wall_time wall, idempotency_actions& actions,
                                       pending_call& pending) {
  if (!pending.write || pending.write->status() == cas_write::state::busy) {
    return false;
  }
  const cas_write write = std::move(*pending.write);
  pending.write.reset();
  if (write.read_back()) {
    actions.emplace_back(idempotency_readback{pending.call.id});
  }
  if (pending.phase == call_phase::finalizing) {
    return true;
  }
  if (write.status() == cas_write::state::written) {
    pending.version = write.version();
    handle_written(actions, pending);
    return false;
  }
  handle_conflict(wall, actions, pending, write);
  return pending.replied && !pending.write;
}

idempotency_actions idempotency_table::release(time_point /*now*/, std::uint64_t id) {
  idempotency_actions actions;
  const auto entry = calls_.find(id);
  if (entry == calls_.end()) {
    return actions;
  }
  pending_call& pending = entry->second;
  if (pending.phase == call_phase::claiming || pending.phase == call_phase::marking) {
    pending.release_requested = true;
  } else if (pending.phase == call_phase::claimed || pending.phase == call_phase::sent) {
    release(actions, pending);
  }
  return actions;
}

void idempotency_table::release(idempotency_actions& actions, pending_call& pending) {
  if (pending.record.state == idempotency_state::sent) {
    // No other call takes over a record marked as sent, so the request was not executed.
    reply(actions, pending, idempotency_status::not_executed);
  }
  pending.phase = call_phase::releasing;
  pending.release_requested = true;
  store_delete call = store_caller_.erase(
      idempotency_record_key(pending.call.workspace, pending.call.idempotency_key),
      pending.version);
  pending.release_store_call = call.call;
  actions.emplace_back(std::move(call));
}

bool idempotency_table::handle_claim_deleted(time_point now, idempotency_actions& actions,
                                             pending_call& pending,
                                             const store_write_result& result) {
  if (pending.release_store_call == 0 || pending.release_store_call != result.call) {
    return false;
  }
  pending.release_store_call = 0;
  if (result.outcome == write_outcome::ok) {
    reply(actions, pending, idempotency_status::not_executed);
    return true;
  }
  if (result.outcome == write_outcome::unknown) {
    pending.release_retry_at = now + pending.release_backoff.next();
    return false;
  }
  if (pending.replied) {
    return true;
  }
  // The claim was taken over, or removed by an earlier deletion whose result was lost.
  store_get get = store_caller_.get(
      idempotency_record_key(pending.call.workspace, pending.call.idempotency_key));
  pending.release_store_call = get.call;
  actions.emplace_back(std::move(get));
  return false;
}

bool idempotency_table::handle_claim_read(time_point now, wall_time wall,
                                          idempotency_actions& actions, pending_call& pending,
                                          const store_read_result& result) {
  if (pending.release_store_call == 0 || pending.release_store_call != result.call) {
    return false;
  }
  pending.release_store_call = 0;
  if (result.outcome == read_outcome::unknown) {
    pending.release_retry_at = now + pending.release_backoff.next();
    return false;
  }
  if (result.outcome == read_outcome::missing) {
    reply(actions, pending, idempotency_status::not_executed);
  } else {
    apply_existing_record(wall, actions, pending, result.value, result.version);
  }
  return true;
}

template <class Visit>
void idempotency_table::erase_finished(Visit visit) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    it = visit(it->second) ? calls_.erase(it) : std::next(it);
  }
}

idempotency_actions idempotency_table::finish_write(time_point now,
                                                    const store_write_result& result) {
  idempotency_actions actions;
  erase_finished([&](pending_call& pending) {
    if (pending.write) {
      append_call(actions, pending.write->finish(now, result, store_caller_));
    }
    // The wall time is needed only to resolve a conflict, which always takes a read. A write result
    // never gets that far, so no wall time is passed.
    return complete_write({}, actions, pending) ||
           handle_claim_deleted(now, actions, pending, result);
  });
  return actions;
}

idempotency_actions idempotency_table::finish_read(time_point now, wall_time wall,
                                                   const store_read_result& result) {
  idempotency_actions actions;
  erase_finished([&](pending_call& pending) {
    if (pending.write) {
      append_call(actions, pending.write->finish(now, result, store_caller_));
    }
    return complete_write(wall, actions, pending) ||
           handle_claim_read(now, wall, actions, pending, result);
  });
  return actions;
}

bool idempotency_table::check_deadline(time_point now, idempotency_actions& actions,
                                       pending_call& pending) {
  if (now < pending.reply_deadline) {
    return false;
  }
  if (pending.phase == call_phase::claimed) {
    pending.reply_deadline = now + release_timeout;
    release(actions, pending);
  } else if (pending.phase != call_phase::sent) {
    // The store does not respond. The record is still updated if the store recovers within
    // `record_update_timeout`.
    pending.release_requested =
        pending.release_requested || pending.phase != call_phase::finalizing;
    reply(actions, pending, idempotency_status::store_unavailable);
  }
  return pending.replied && now >= pending.call.deadline + options_.record_update_timeout;
}

idempotency_actions idempotency_table::tick(time_point now) {
  idempotency_actions actions;
  erase_finished([&](pending_call& pending) {
    if (pending.write) {
      append_call(actions, pending.write->tick(now, store_caller_));
    }
    if (pending.release_retry_at && now >= *pending.release_retry_at) {
      pending.release_retry_at.reset();
      release(actions, pending);
    }
    return check_deadline(now, actions, pending);
  });
  return actions;
}

std::optional<time_point> idempotency_table::next_wakeup() const {
  std::optional<time_point> at;
  const auto consider = [&at](const std::optional<time_point>& it) {
    if (it && (!at || *it < *at)) {
      at = it;
    }
  };
  for (const auto& [id, it] : calls_) {
    consider(it.release_retry_at);
    if (it.write) {
      consider(it.write->next_wakeup());
    }
    if (it.phase != call_phase::sent) {
      consider(it.replied ? it.call.deadline + options_.record_update_timeout : it.reply_deadline);
    }
  }
  return at;
}

idempotency_actions idempotency_table::expire(time_point /*now*/, wall_time wall,
                                              const std::string& key, const std::string& value,
                                              std::uint64_t version) {
  idempotency_actions actions;
  const auto read = idempotency_record_from_text(value);
  if (read && wall - read.value().created > options_.retention) {
    actions.emplace_back(store_caller_.erase(key, version));
  }
  return actions;
}

} // namespace boragedoor::requests
