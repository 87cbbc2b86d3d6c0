#include "requests/once_table.h"

#include <algorithm>

namespace boragedoor::requests {

namespace {

/// Wait for the store to confirm a release at the deadline; it answers in milliseconds.
constexpr duration release_wait = seconds(1);

void append_if(once_actions& out, std::optional<store_call> call) {
  if (call) {
    append(out, std::move(*call));
  }
}

} // namespace

std::string_view to_string(once_status status) {
  switch (status) {
  case once_status::answer:
    return "answer";
  case once_status::in_progress:
    return "in_progress";
  case once_status::outcome_unknown:
    return "outcome_unknown";
  case once_status::key_conflict:
    return "conflict";
  case once_status::not_executed:
    return "not_executed";
  case once_status::store_unavailable:
    return "store_unavailable";
  }
  return "unknown";
}

once_table::once_table(std::string instance, std::string boot, once_options options)
    : instance_(std::move(instance)), boot_(std::move(boot)), options_(options) {}

once_table once_table::create(std::string instance, std::string boot, once_options options) {
  return {std::move(instance), std::move(boot), options};
}

once_table::entry* once_table::find(std::uint64_t id, step at) {
  const auto it = calls_.find(id);
  return it == calls_.end() || it->second.at != at ? nullptr : &it->second;
}

void once_table::reply(once_actions& out, entry& it, once_status status, stored_answer answer) {
  if (!it.replied) {
    it.replied = true;
    out.emplace_back(once_reply{it.call.id, status, std::move(answer)});
  }
}

// Writing the record.

void once_table::write(once_actions& out, entry& it, once_state state,
                       std::uint64_t expect_version) {
  it.record.state = state;
  it.write.emplace(once_key(it.call.workspace, it.call.idempotency_key), to_text(it.record),
                   expect_version);
  append(out, it.write->start(caller_));
}

void once_table::claim(once_actions& out, entry& it, std::uint64_t expect_version) {
  it.at = step::claiming;
  // Each try has its own claim, so that an earlier one that takes effect late is not mistaken for
  // this one.
  it.record.claim = instance_ + "/" + boot_ + "/" + std::to_string(++last_claim_);
  write(out, it, it.call.send_at_once ? once_state::sent : once_state::claimed, expect_version);
}

once_actions once_table::begin(time_point /*now*/, wall_time wall, once_call call) {
  once_actions out;
  const std::uint64_t id = call.id;
  const auto [place, inserted] = calls_.try_emplace(id);
  if (inserted) {
    entry& it = place->second;
    it.record.body_hash = call.body_hash;
    it.record.created = wall;
    it.record.deadline = call.wall_deadline;
    it.answer_by = std::min(call.claim_by, call.deadline);
    it.call = std::move(call);
    claim(out, it, 0);
  }
  return out;
}

once_actions once_table::mark_sent(time_point /*now*/, std::uint64_t id) {
  once_actions out;
  if (entry* it = find(id, step::claimed)) {
    it->at = step::marking;
    write(out, *it, once_state::sent, it->version);
  }
  return out;
}

void once_table::close(once_actions& out, entry& it, once_state state) {
  it.at = step::closing;
  write(out, it, state, it.version);
}

once_actions once_table::finish(time_point /*now*/, std::uint64_t id, stored_answer answer) {
  once_actions out;
  if (entry* it = find(id, step::sent)) {
    reply(out, *it, once_status::answer, answer);
    if (answer.body.size() > max_stored_answer_bytes) {
      answer.body.clear();
      answer.omitted = true;
    }
    it->record.answer = std::move(answer);
    close(out, *it, once_state::done);
  }
  return out;
}

once_actions once_table::lose(time_point /*now*/, std::uint64_t id) {
  once_actions out;
  if (entry* it = find(id, step::sent)) {
    reply(out, *it, once_status::outcome_unknown);
    close(out, *it, once_state::unknown);
  }
  return out;
}

// Outcomes of writes.

void once_table::written(once_actions& out, entry& it) {
  if (it.release_wanted) {
    release(out, it);
  } else if (it.record.state == once_state::sent) {
    it.at = step::sent;
    it.answer_by = it.call.deadline;
    out.emplace_back(send_request{it.call.id});
  } else {
    it.at = step::claimed;
    out.emplace_back(request_claimed{it.call.id});
  }
}

void once_table::refused(wall_time wall, once_actions& out, entry& it, const cas_write& found) {
  if (found.version() != 0) {
    resolve(wall, out, it, found.found(), found.version());
  } else if (it.release_wanted) {
    reply(out, it, once_status::not_executed);
  } else {
    // The record that was to be changed has expired or was released.
    claim(out, it, 0);
  }
}

void once_table::resolve(wall_time wall, once_actions& out, entry& it, const std::string& text,
                         std::uint64_t version) {
  const auto read = once_record_from_text(text);
  if (!read) {
    reply(out, it, once_status::outcome_unknown);
    return;
  }
  const once_record& found = read.value();
  const bool running = wall < found.deadline;
  const bool lost =
      found.state == once_state::unknown || (found.state == once_state::sent && !running);
  if (found.body_hash != it.record.body_hash) {
    reply(out, it, once_status::key_conflict);
  } else if (found.state == once_state::done) {
    reply(out, it, once_status::answer, found.answer);
  } else if (lost) {
    reply(out, it, once_status::outcome_unknown);
  } else if (running || it.release_wanted) {
    reply(out, it, once_status::in_progress);
  } else {
    claim(out, it, version);
  }
}

/// Returns whether the entry is done with.
bool once_table::settle(wall_time wall, once_actions& out, entry& it) {
  if (!it.write || it.write->status() == cas_write::state::busy) {
    return false;
  }
  const cas_write write = std::move(*it.write);
  it.write.reset();
  if (write.read_back()) {
    out.emplace_back(once_readback{it.call.id});
  }
  if (it.at == step::closing) {
    return true;
  }
  if (write.status() == cas_write::state::written) {
    it.version = write.version();
    written(out, it);
    return false;
  }
  refused(wall, out, it, write);
  return it.replied && !it.write;
}

// Releasing a claim.

once_actions once_table::release(time_point /*now*/, std::uint64_t id) {
  once_actions out;
  const auto place = calls_.find(id);
  if (place == calls_.end()) {
    return out;
  }
  entry& it = place->second;
  if (it.at == step::claiming || it.at == step::marking) {
    it.release_wanted = true;
  } else if (it.at == step::claimed || it.at == step::sent) {
    release(out, it);
  }
  return out;
}

void once_table::release(once_actions& out, entry& it) {
  if (it.record.state == once_state::sent) {
    // Nobody takes over a record that is marked as sent, so nothing has run.
    reply(out, it, once_status::not_executed);
  }
  it.at = step::releasing;
  it.release_wanted = true;
  store_delete call =
      caller_.erase(once_key(it.call.workspace, it.call.idempotency_key), it.version);
  it.release_call = call.call;
  out.emplace_back(std::move(call));
}

bool once_table::release_written(time_point now, once_actions& out, entry& it,
                                 const store_write_result& result) {
  if (it.release_call == 0 || it.release_call != result.call) {
    return false;
  }
  it.release_call = 0;
  if (result.outcome == write_outcome::ok) {
    reply(out, it, once_status::not_executed);
    return true;
  }
  if (result.outcome == write_outcome::unknown) {
    it.release_at = now + it.release_delay.next();
    return false;
  }
  if (it.replied) {
    return true;
  }
  // Taken over, or removed by an earlier try whose answer was lost.
  store_get get = caller_.get(once_key(it.call.workspace, it.call.idempotency_key));
  it.release_call = get.call;
  out.emplace_back(std::move(get));
  return false;
}

bool once_table::release_read(time_point now, wall_time wall, once_actions& out, entry& it,
                              const store_read_result& result) {
  if (it.release_call == 0 || it.release_call != result.call) {
    return false;
  }
  it.release_call = 0;
  if (result.outcome == read_outcome::unknown) {
    it.release_at = now + it.release_delay.next();
    return false;
  }
  if (result.outcome == read_outcome::missing) {
    reply(out, it, once_status::not_executed);
  } else {
    resolve(wall, out, it, result.value, result.version);
  }
  return true;
}

// Results and time.

/// Calls `visit` with each entry and removes those for which it returns true.
template <class Visit>
void once_table::erase_finished(Visit visit) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    it = visit(it->second) ? calls_.erase(it) : std::next(it);
  }
}

once_actions once_table::finish_write(time_point now, const store_write_result& result) {
  once_actions out;
  erase_finished([&](entry& it) {
    if (it.write) {
      append_if(out, it.write->finish(now, result, caller_));
    }
    // A write that is refused is always read first, so no wall time is needed here.
    return settle({}, out, it) || release_written(now, out, it, result);
  });
  return out;
}

once_actions once_table::finish_read(time_point now, wall_time wall,
                                     const store_read_result& result) {
  once_actions out;
  erase_finished([&](entry& it) {
    if (it.write) {
      append_if(out, it.write->finish(now, result, caller_));
    }
    return settle(wall, out, it) || release_read(now, wall, out, it, result);
  });
  return out;
}

/// Returns whether the entry is done with.
bool once_table::pass_deadline(time_point now, once_actions& out, entry& it) {
  if (now < it.answer_by) {
    return false;
  }
  if (it.at == step::claimed) {
    it.answer_by = now + release_wait;
    release(out, it);
  } else if (it.at != step::sent) {
    // The store does not answer. The record is still brought up to date if that works soon.
    it.release_wanted = it.release_wanted || it.at != step::closing;
    reply(out, it, once_status::store_unavailable);
  }
  return it.replied && now >= it.call.deadline + options_.settle_for;
}

once_actions once_table::tick(time_point now) {
  once_actions out;
  erase_finished([&](entry& it) {
    if (it.write) {
      append_if(out, it.write->tick(now, caller_));
    }
    if (it.release_at && now >= *it.release_at) {
      it.release_at.reset();
      release(out, it);
    }
    return pass_deadline(now, out, it);
  });
  return out;
}

std::optional<time_point> once_table::next_wakeup() const {
  std::optional<time_point> at;
  const auto consider = [&at](const std::optional<time_point>& it) {
    if (it && (!at || *it < *at)) {
      at = it;
    }
  };
  for (const auto& [id, it] : calls_) {
    consider(it.release_at);
    if (it.write) {
      consider(it.write->next_wakeup());
    }
    if (it.at != step::sent) {
      consider(it.replied ? it.call.deadline + options_.settle_for : it.answer_by);
    }
  }
  return at;
}

once_actions once_table::expire(time_point /*now*/, wall_time wall, const std::string& key,
                                const std::string& value, std::uint64_t version) {
  once_actions out;
  const auto read = once_record_from_text(value);
  if (read && wall - read.value().created > options_.keep) {
    out.emplace_back(caller_.erase(key, version));
  }
  return out;
}

} // namespace boragedoor::requests
