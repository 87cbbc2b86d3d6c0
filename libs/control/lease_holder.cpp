#include "control/lease_holder.h"

#include <algorithm>
#include <iterator>

namespace boragedoor::control {

result<lease_holder> lease_holder::create(lease_holder_options options) {
  if (options.instance.empty() || options.boot_id.empty() || options.address.empty()) {
    return error{error_code::invalid_argument,
                 "lease holder: instance, boot id and address must be set"};
  }
  if (options.ttl - options.safety_margin <= options.renew_interval) {
    return error{error_code::invalid_argument,
                 "lease holder: the TTL less the safety margin must exceed the renewal interval"};
  }
  return lease_holder(std::move(options));
}

std::vector<lease_action> lease_holder::on_ranks(std::span<const shard_rank> ranks,
                                                 time_point now) {
  actions out;
  expire(now, out);
  const auto is_unlisted = [&](const auto& it) {
    return std::ranges::find(ranks, it.first, &shard_rank::shard) == ranks.end();
  };
  std::erase_if(shards_, [&](const auto& it) {
    return is_unlisted(it) && it.second.at == phase::watching && !it.second.create_unknown;
  });
  for (const shard_rank& place : ranks) {
    shard_state& state = shards_[place.shard];
    if (state.rank == std::size_t{0} && place.rank != std::size_t{0}) {
      state.not_preferred_since = now;
    }
    state.rank = place.rank;
  }
  for (auto& it : shards_) {
    if (is_unlisted(it)) {
      it.second.rank.reset();
      if (it.second.at == phase::held) {
        stop(it, now, out);
      }
    }
  }
  return out;
}

std::vector<lease_action> lease_holder::tick(time_point now) {
  actions out;
  expire(now, out);
  renew(now, out);
  for (auto& it : shards_) {
    advance(it, now, out);
  }
  hand_over(now, out);
  return out;
}

void lease_holder::expire(time_point now, actions& out) {
  if (!lease_.empty() && now >= valid_until_) {
    lose_all(out);
  }
}

void lease_holder::lose_all(actions& out) {
  for (auto& [name, state] : shards_) {
    if (state.at == phase::held || state.at == phase::stopping) {
      out.emplace_back(shard_lost{name, state.token});
    }
    // A create that is still on its way can only attach its key to the abandoned store lease.
    if (state.at != phase::waiting) {
      state.at = phase::watching;
      state.request = 0;
    }
    state.create_unknown = false;
  }
  out.emplace_back(revoke_store_lease{lease_});
  lease_.clear();
  renewals_.clear();
  grant_.reset();
}

bool lease_holder::wants_lease(time_point now) const {
  return std::ranges::any_of(shards_, [&](const auto& it) {
    const shard_state& state = it.second;
    return state.at == phase::waiting ? now >= state.due : state.at != phase::watching;
  });
}

void lease_holder::renew(time_point now, actions& out) {
  if (now < next_renewal_) {
    return;
  }
  if (!wants_lease(now)) {
    // Idle instances cost the store nothing.
    if (!lease_.empty()) {
      lose_all(out);
    }
    return;
  }
  const request_id request = ++last_request_;
  renewals_.emplace(request, now);
  next_renewal_ = now + options_.renew_interval;
  if (lease_.empty()) {
    grant_ = request;
    out.emplace_back(grant_store_lease{request, options_.ttl});
  } else {
    out.emplace_back(renew_store_lease{request, lease_});
  }
}

std::vector<lease_action>
lease_holder::on_granted(request_id request, std::optional<std::string> lease, time_point now) {
  actions out;
  expire(now, out);
  if (grant_ != request || !lease) {
    if (lease) {
      out.emplace_back(revoke_store_lease{*lease});
    }
    return out;
  }
  valid_until_ = renewals_.at(request) + options_.ttl - options_.safety_margin;
  renewals_.clear();
  grant_.reset();
  lease_ = *lease;
  expire(now, out);
  for (auto& it : shards_) {
    advance(it, now, out);
  }
  return out;
}

std::vector<lease_action> lease_holder::on_renewed(request_id request, store_outcome outcome,
                                                   time_point now) {
  actions out;
  expire(now, out);
  const auto sent = renewals_.find(request);
  if (sent == renewals_.end()) {
    return out;
  }
  if (outcome == store_outcome::ok) {
    valid_until_ = std::max(valid_until_, sent->second + options_.ttl - options_.safety_margin);
  }
  renewals_.erase(sent);
  if (outcome == store_outcome::lease_missing) {
    lose_all(out);
  }
  return out;
}

void lease_holder::advance(entry& it, time_point now, actions& out) {
  shard_state& state = it.second;
  if (state.at != phase::held && now < state.due) {
    return;
  }
  switch (state.at) {
  case phase::watching:
    observe(it, now, out);
    break;
  case phase::waiting:
    try_create(it, now, out);
    break;
  case phase::creating:
    state.create_unknown = true;
    state.at = phase::reading_back;
    read(it, now, out);
    break;
  case phase::reading_back:
    read(it, now, out);
    break;
  case phase::held:
    break;
  case phase::stopping:
  case phase::releasing:
    release(it, now, out);
    break;
  }
}

void lease_holder::observe(entry& it, time_point now, actions& out) {
  const shard_state& state = it.second;
  const bool is_observer = !draining_ && state.rank && *state.rank < options_.observer_ranks;
  // A create of unknown outcome may take effect late, and then only this process can tell that
  // nobody acts on the key that its renewals keep alive.
  if (is_observer || (state.create_unknown && !lease_.empty())) {
    read(it, now, out);
  }
}

void lease_holder::wait_for_turn(entry& it, time_point now) {
  shard_state& state = it.second;
  state.request = 0;
  if (draining_ || !state.rank) {
    state.at = phase::watching;
    return;
  }
  state.at = phase::waiting;
  state.due = now + options_.rank_delay * static_cast<std::int64_t>(*state.rank);
}

void lease_holder::try_create(entry& it, time_point now, actions& out) {
  shard_state& state = it.second;
  if (draining_ || !state.rank) {
    state.at = phase::watching;
    return;
  }
  if (lease_.empty()) {
    return; // `renew` asks for a store lease.
  }
  state.at = phase::creating;
  state.request = ++last_request_;
  state.due = now + options_.observe_interval;
  out.emplace_back(create_lease_key{
      state.request, it.first,
      lease_record{options_.instance, options_.boot_id, options_.address, lease_}});
}

void lease_holder::read(entry& it, time_point now, actions& out) {
  it.second.request = ++last_request_;
  it.second.due = now + options_.observe_interval;
  out.emplace_back(read_lease_key{it.second.request, it.first});
}

lease_holder::entry* lease_holder::find_request(request_id request) {
  const auto found =
      std::ranges::find_if(shards_, [&](const auto& it) { return it.second.request == request; });
  return request == 0 || found == shards_.end() ? nullptr : &*found;
}

std::vector<lease_action> lease_holder::on_created(request_id request, store_outcome outcome,
                                                   fencing_token version, time_point now) {
  actions out;
  expire(now, out);
  entry* const it = find_request(request);
  if (it == nullptr || it->second.at != phase::creating) {
    return out;
  }
  switch (outcome) {
  case store_outcome::ok:
    take(*it, version, now, out);
    break;
  case store_outcome::lease_missing:
    lose_all(out);
    break;
  case store_outcome::conflict:
    // The key may be this process's own, from an earlier create whose answer was lost.
  case store_outcome::unknown:
    it->second.create_unknown |= outcome == store_outcome::unknown;
    it->second.at = phase::reading_back;
    read(*it, now, out);
    break;
  }
  return out;
}

bool lease_holder::is_own(const lease_record& record) const {
  return !lease_.empty() && record.boot_id == options_.boot_id && record.acquired_by == lease_;
}

void lease_holder::take(entry& it, fencing_token version, time_point now, actions& out) {
  shard_state& state = it.second;
  state.token = version;
  state.request = 0;
  state.not_preferred_since = now;
  if (draining_ || !state.rank) {
    release(it, now, out);
    return;
  }
  state.at = phase::held;
  out.emplace_back(shard_acquired{it.first, version});
}

std::vector<lease_action> lease_holder::on_read(request_id request, const lease_read& answer,
                                                time_point now) {
  actions out;
  expire(now, out);
  entry* const it = find_request(request);
  if (it != nullptr) {
    read_back(*it, answer, now, out);
  }
  return out;
}

void lease_holder::read_back(entry& it, const lease_read& answer, time_point now, actions& out) {
  shard_state& state = it.second;
  if (state.at != phase::watching && state.at != phase::reading_back) {
    return;
  }
  state.request = 0;
  if (!answer.answered) {
    return; // Repeated when `due` has passed.
  }
  if (!answer.entry) {
    wait_for_turn(it, now);
  } else if (is_own(answer.entry->record)) {
    take(it, answer.entry->version, now, out);
  } else {
    state.at = phase::watching;
    state.due = now + options_.observe_interval;
  }
}

std::vector<lease_action> lease_holder::on_seen(std::string_view shard, bool exists,
                                                time_point now) {
  actions out;
  expire(now, out);
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return out;
  }
  if (exists && it->second.at == phase::waiting) {
    it->second.at = phase::watching;
    it->second.due = now + options_.observe_interval;
  } else if (!exists && it->second.at == phase::watching) {
    wait_for_turn(*it, now);
    advance(*it, now, out);
  }
  return out;
}

void lease_holder::stop(entry& it, time_point now, actions& out) {
  it.second.at = phase::stopping;
  it.second.due = now + options_.settle_limit;
  out.emplace_back(shard_stopping{it.first, it.second.token});
}

std::vector<lease_action> lease_holder::on_settled(std::string_view shard, time_point now) {
  actions out;
  expire(now, out);
  if (const auto it = shards_.find(shard);
      it != shards_.end() && it->second.at == phase::stopping) {
    release(*it, now, out);
  }
  return out;
}

void lease_holder::release(entry& it, time_point now, actions& out) {
  shard_state& state = it.second;
  if (state.at == phase::stopping) {
    out.emplace_back(shard_lost{it.first, state.token});
  }
  state.at = phase::releasing;
  state.request = ++last_request_;
  state.due = now + options_.observe_interval;
  out.emplace_back(delete_lease_key{state.request, it.first, state.token});
}

std::vector<lease_action> lease_holder::on_deleted(request_id request, store_outcome outcome,
                                                   time_point now) {
  actions out;
  expire(now, out);
  entry* const it = find_request(request);
  if (it == nullptr || it->second.at != phase::releasing) {
    return out;
  }
  // A conflict means that this version is gone, which is all that was asked for.
  if (outcome == store_outcome::ok || outcome == store_outcome::conflict) {
    finish_release(*it, now, out);
  }
  return out;
}

void lease_holder::finish_release(entry& it, time_point now, actions& out) {
  it.second.at = phase::watching;
  it.second.request = 0;
  // Leaves the preferred candidate time to take the shard.
  it.second.due = now + options_.observe_interval;
  out.emplace_back(shard_released{it.first});
}

void lease_holder::hand_over(time_point now, actions& out) {
  const auto is_leaving = [](const auto& it) {
    return it.second.at == phase::stopping || it.second.at == phase::releasing;
  };
  if (std::ranges::any_of(shards_, is_leaving)) {
    return;
  }
  const auto found = std::ranges::find_if(shards_, [&](const auto& it) {
    return it.second.at == phase::held && it.second.rank != std::size_t{0} &&
           now - it.second.not_preferred_since >= options_.hand_over_after;
  });
  if (found != shards_.end()) {
    stop(*found, now, out);
  }
}

std::vector<lease_action> lease_holder::drain(time_point now) {
  actions out;
  expire(now, out);
  draining_ = true;
  for (auto& it : shards_) {
    if (it.second.at == phase::held) {
      stop(it, now, out);
    } else if (it.second.at == phase::waiting) {
      it.second.at = phase::watching;
    }
  }
  return out;
}

bool lease_holder::is_drained() const {
  return draining_ && std::ranges::all_of(
                          shards_, [](const auto& it) { return it.second.at == phase::watching; });
}

std::optional<lease_permit> lease_holder::permit(std::string_view shard) const {
  const auto it = shards_.find(shard);
  if (it == shards_.end() || (it->second.at != phase::held && it->second.at != phase::stopping)) {
    return std::nullopt;
  }
  return lease_permit{it->second.token, valid_until_};
}

bool lease_holder::may_act(std::string_view shard, time_point now) const {
  const auto it = permit(shard);
  return it && it->is_valid(now);
}

std::vector<std::string> lease_holder::held() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : shards_) {
    if (state.at == phase::held || state.at == phase::stopping) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace boragedoor::control
