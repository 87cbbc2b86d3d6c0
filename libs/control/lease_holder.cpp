#include "control/lease_holder.h"

#include <algorithm>
#include <iterator>

namespace boragedoor::control {

result<lease_holder> lease_holder::create(lease_holder_options options) {
  if (options.instance.empty() || options.boot_id.empty() || options.address.empty()) {
    return error{error_code::invalid_argument,
                 "lease holder: instance, boot id and address must not be empty"};
  }
  if (options.ttl - options.safety_margin <= options.renew_interval) {
    return error{error_code::invalid_argument,
                 "lease holder: the TTL minus the safety margin must exceed the renewal interval"};
  }
  return lease_holder(std::move(options));
}

std::vector<lease_action> lease_holder::on_ranks(std::span<const shard_rank> ranks,
                                                 time_point now) {
  actions out;
  expire_if_due(now, out);
  const auto is_unlisted = [&](const auto& it) {
    return std::ranges::find(ranks, it.first, &shard_rank::shard) == ranks.end();
  };
  std::erase_if(shards_, [&](const auto& it) {
    return is_unlisted(it) && it.second.phase == shard_phase::watching && !it.second.create_unknown;
  });
  for (const shard_rank& entry : ranks) {
    shard_state& state = shards_[entry.shard];
    if (state.rank == std::size_t{0} && entry.rank != std::size_t{0}) {
      state.not_preferred_since = now;
    }
    state.rank = entry.rank;
  }
  for (auto& it : shards_) {
    if (is_unlisted(it)) {
      it.second.rank.reset();
      if (it.second.phase == shard_phase::held) {
        start_stopping(it, now, out);
      }
    }
  }
  return out;
}

std::vector<lease_action> lease_holder::tick(time_point now) {
  actions out;
  expire_if_due(now, out);
  renew_if_due(now, out);
  for (auto& it : shards_) {
    advance(it, now, out);
  }
  hand_over(now, out);
  return out;
}

void lease_holder::expire_if_due(time_point now, actions& out) {
  if (!store_lease_.empty() && now >= valid_until_) {
    abandon_store_lease(out);
  }
}

void lease_holder::abandon_store_lease(actions& out) {
  for (auto& [name, state] : shards_) {
    if (state.phase == shard_phase::held || state.phase == shard_phase::stopping) {
      out.emplace_back(shard_lost{name, state.token});
    }
    // A create that is still in flight can only attach its key to the abandoned store lease.
    if (state.phase != shard_phase::waiting) {
      state.phase = shard_phase::watching;
      state.request = 0;
    }
    state.create_unknown = false;
  }
  out.emplace_back(revoke_store_lease{store_lease_});
  store_lease_.clear();
  pending_renewals_.clear();
  pending_grant_.reset();
}

bool lease_holder::needs_store_lease(time_point now) const {
  return std::ranges::any_of(shards_, [&](const auto& it) {
    const shard_state& state = it.second;
    return state.phase == shard_phase::waiting ? now >= state.due
                                               : state.phase != shard_phase::watching;
  });
}

void lease_holder::renew_if_due(time_point now, actions& out) {
  if (now < next_renewal_) {
    return;
  }
  if (!needs_store_lease(now)) {
    // An idle instance keeps no store lease, so that it causes no store calls.
    if (!store_lease_.empty()) {
      abandon_store_lease(out);
    }
    return;
  }
  const request_id request = ++last_request_;
  pending_renewals_.emplace(request, now);
  next_renewal_ = now + options_.renew_interval;
  if (store_lease_.empty()) {
    pending_grant_ = request;
    out.emplace_back(grant_store_lease{request, options_.ttl});
  } else {
    out.emplace_back(renew_store_lease{request, store_lease_});
  }
}

std::vector<lease_action>
lease_holder::on_granted(request_id request, std::optional<std::string> lease, time_point now) {
  actions out;
  expire_if_due(now, out);
  if (pending_grant_ != request || !lease) {
    if (lease) {
      out.emplace_back(revoke_store_lease{*lease});
    }
    return out;
  }
  valid_until_ = pending_renewals_.at(request) + options_.ttl - options_.safety_margin;
  pending_renewals_.clear();
  pending_grant_.reset();
  store_lease_ = *lease;
  expire_if_due(now, out);
  for (auto& it : shards_) {
    advance(it, now, out);
  }
  return out;
}

std::vector<lease_action> lease_holder::on_renewed(request_id request, store_outcome outcome,
                                                   time_point now) {
  actions out;
  expire_if_due(now, out);
  const auto sent = pending_renewals_.find(request);
  if (sent == pending_renewals_.end()) {
    return out;
  }
  if (outcome == store_outcome::ok) {
    valid_until_ = std::max(valid_until_, sent->second + options_.ttl - options_.safety_margin);
  }
  pending_renewals_.erase(sent);
  if (outcome == store_outcome::lease_missing) {
    abandon_store_lease(out);
  }
  return out;
}

void lease_holder::advance(shard_entry& shard, time_point now, actions& out) {
  shard_state& state = shard.second;
  if (state.phase != shard_phase::held && now < state.due) {
    return;
  }
  switch (state.phase) {
  case shard_phase::watching:
    poll_lease_key(shard, now, out);
    break;
  case shard_phase::waiting:
    try_create(shard, now, out);
    break;
  case shard_phase::creating:
    state.create_unknown = true;
    state.phase = shard_phase::reading_back;
    send_read(shard, now, out);
    break;
  case shard_phase::reading_back:
    send_read(shard, now, out);
    break;
  case shard_phase::held:
    break;
  case shard_phase::stopping:
  case shard_phase::releasing:
    release(shard, now, out);
    break;
  }
}

void lease_holder::poll_lease_key(shard_entry& shard, time_point now, actions& out) {
  const shard_state& state = shard.second;
  const bool is_observer = !draining_ && state.rank && *state.rank < options_.polling_ranks;
  // A create of unknown outcome may take effect late. Its key would then stay alive through this
  // process's renewals without any process acting on it, and only this process can detect that.
  if (is_observer || (state.create_unknown && !store_lease_.empty())) {
    send_read(shard, now, out);
  }
}

void lease_holder::schedule_create(shard_entry& shard, time_point now) {
  shard_state& state = shard.second;
  state.request = 0;
  if (draining_ || !state.rank) {
    state.phase = shard_phase::watching;
    return;
  }
  state.phase = shard_phase::waiting;
  state.due = now + options_.create_delay_per_rank * static_cast<std::int64_t>(*state.rank);
}

void lease_holder::try_create(shard_entry& shard, time_point now, actions& out) {
  shard_state& state = shard.second;
  if (draining_ || !state.rank) {
    state.phase = shard_phase::watching;
    return;
  }
  if (store_lease_.empty()) {
    return; // `renew_if_due` requests a store lease.
  }
  state.phase = shard_phase::creating;
  state.request = ++last_request_;
  state.due = now + options_.poll_interval;
  out.emplace_back(create_lease_key{
      state.request, shard.first,
      lease_record{options_.instance, options_.boot_id, options_.address, store_lease_}});
}

void lease_holder::send_read(shard_entry& shard, time_point now, actions& out) {
  shard.second.request = ++last_request_;
  shard.second.due = now + options_.poll_interval;
  out.emplace_back(read_lease_key{shard.second.request, shard.first});
}

lease_holder::shard_entry* lease_holder::find_request(request_id request) {
  const auto found =
      std::ranges::find_if(shards_, [&](const auto& it) { return it.second.request == request; });
  return request == 0 || found == shards_.end() ? nullptr : &*found;
}

std::vector<lease_action> lease_holder::on_created(request_id request, store_outcome outcome,
                                                   fencing_token version, time_point now) {
  actions out;
  expire_if_due(now, out);
  shard_entry* const it = find_request(request);
  if (it == nullptr || it->second.phase != shard_phase::creating) {
    return out;
  }
  switch (outcome) {
  case store_outcome::ok:
    accept_key(*it, version, now, out);
    break;
  case store_outcome::lease_missing:
    abandon_store_lease(out);
    break;
  case store_outcome::conflict:
    // The key may belong to this process, from an earlier create whose answer was lost.
  case store_outcome::unknown:
    it->second.create_unknown |= outcome == store_outcome::unknown;
    it->second.phase = shard_phase::reading_back;
    send_read(*it, now, out);
    break;
  }
  return out;
}

bool lease_holder::is_own(const lease_record& record) const {
  return !store_lease_.empty() && record.boot_id == options_.boot_id &&
         record.acquired_by == store_lease_;
}

void lease_holder::accept_key(shard_entry& shard, fencing_token version, time_point now,
                              actions& out) {
  shard_state& state = shard.second;
  state.token = version;
  state.request = 0;
  state.not_preferred_since = now;
  if (draining_ || !state.rank) {
    release(shard, now, out);
    return;
  }
  state.phase = shard_phase::held;
  out.emplace_back(shard_acquired{shard.first, version});
}

std::vector<lease_action> lease_holder::on_read(request_id request, const lease_read& answer,
                                                time_point now) {
  actions out;
  expire_if_due(now, out);
  shard_entry* const it = find_request(request);
  if (it != nullptr) {
    apply_read(*it, answer, now, out);
  }
  return out;
}

void lease_holder::apply_read(shard_entry& shard, const lease_read& answer, time_point now,
                              actions& out) {
  shard_state& state = shard.second;
  if (state.phase != shard_phase::watching && state.phase != shard_phase::reading_back) {
    return;
  }
  state.request = 0;
  if (!answer.answered) {
    return; // The read is repeated after `due`.
  }
  if (!answer.entry) {
    schedule_create(shard, now);
  } else if (is_own(answer.entry->record)) {
    accept_key(shard, answer.entry->version, now, out);
  } else {
    state.phase = shard_phase::watching;
    state.due = now + options_.poll_interval;
  }
}

std::vector<lease_action> lease_holder::on_key_observed(std::string_view shard, bool exists,
                                                        time_point now) {
  actions out;
  expire_if_due(now, out);
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return out;
  }
  if (exists && it->second.phase == shard_phase::waiting) {
    it->second.phase = shard_phase::watching;
    it->second.due = now + options_.poll_interval;
  } else if (!exists && it->second.phase == shard_phase::watching) {
    schedule_create(*it, now);
    advance(*it, now, out);
  }
  return out;
}

void lease_holder::start_stopping(shard_entry& shard, time_point now, actions& out) {
  shard.second.phase = shard_phase::stopping;
  shard.second.due = now + options_.settle_timeout;
  out.emplace_back(shard_stopping{shard.first, shard.second.token});
}

std::vector<lease_action> lease_holder::on_settled(std::string_view shard, time_point now) {
  actions out;
  expire_if_due(now, out);
  if (const auto it = shards_.find(shard);
      it != shards_.end() && it->second.phase == shard_phase::stopping) {
    release(*it, now, out);
  }
  return out;
}

void lease_holder::release(shard_entry& shard, time_point now, actions& out) {
  shard_state& state = shard.second;
  if (state.phase == shard_phase::stopping) {
    out.emplace_back(shard_lost{shard.first, state.token});
  }
  state.phase = shard_phase::releasing;
  state.request = ++last_request_;
  state.due = now + options_.poll_interval;
  out.emplace_back(delete_lease_key{state.request, shard.first, state.token});
}

std::vector<lease_action> lease_holder::on_deleted(request_id request, store_outcome outcome,
                                                   time_point now) {
  actions out;
  expire_if_due(now, out);
  shard_entry* const it = find_request(request);
  if (it == nullptr || it->second.phase != shard_phase::releasing) {
    return out;
  }
  // A conflict means that this version of the key no longer exists, as after a successful delete.
  if (outcome == store_outcome::ok || outcome == store_outcome::conflict) {
    finish_release(*it, now, out);
  }
  return out;
}

void lease_holder::finish_release(shard_entry& shard, time_point now, actions& out) {
  shard.second.phase = shard_phase::watching;
  shard.second.request = 0;
  // Gives the preferred candidate time to acquire the shard.
  shard.second.due = now + options_.poll_interval;
  out.emplace_back(shard_released{shard.first});
}

void lease_holder::hand_over(time_point now, actions& out) {
  const auto is_giving_up = [](const auto& it) {
    return it.second.phase == shard_phase::stopping || it.second.phase == shard_phase::releasing;
  };
  if (std::ranges::any_of(shards_, is_giving_up)) {
    return;
  }
  const auto found = std::ranges::find_if(shards_, [&](const auto& it) {
    return it.second.phase == shard_phase::held && it.second.rank != std::size_t{0} &&
           now - it.second.not_preferred_since >= options_.hand_over_delay;
  });
  if (found != shards_.end()) {
    start_stopping(*found, now, out);
  }
}

std::vector<lease_action> lease_holder::drain(time_point now) {
  actions out;
  expire_if_due(now, out);
  draining_ = true;
  for (auto& it : shards_) {
    if (it.second.phase == shard_phase::held) {
      start_stopping(it, now, out);
    } else if (it.second.phase == shard_phase::waiting) {
      it.second.phase = shard_phase::watching;
    }
  }
  return out;
}

bool lease_holder::is_drained() const {
  return draining_ && std::ranges::all_of(shards_, [](const auto& it) {
           return it.second.phase == shard_phase::watching;
         });
}

std::optional<lease_permit> lease_holder::permit(std::string_view shard) const {
  const auto it = shards_.find(shard);
  if (it == shards_.end() ||
      (it->second.phase != shard_phase::held && it->second.phase != shard_phase::stopping)) {
    return std::nullopt;
  }
  return lease_permit{it->second.token, valid_until_};
}

bool lease_holder::may_act(std::string_view shard, time_point now) const {
  const auto it = permit(shard);
  return it && it->is_valid(now);
}

std::vector<std::string> lease_holder::held_shards() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : shards_) {
    if (state.phase == shard_phase::held || state.phase == shard_phase::stopping) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace boragedoor::control
