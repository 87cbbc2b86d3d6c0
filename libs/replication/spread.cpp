#include "replication/spread.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace boragedoor::replication {

namespace {

/// Peers that are not neighbours by the own list, such as fresh ones that are not listed yet, are
/// served while they are heard.
constexpr duration heard_limit = seconds(3);

/// Start sequences of two processes differ, so that an echo of an earlier process's heartbeat is
/// not taken for one of ours. Below 2^30 to keep the encoding short.
std::uint64_t first_sequence(std::string_view boot_id) {
  return hash64(boot_id) % (std::uint64_t{1} << 30U);
}

} // namespace

spread::spread(spread_options options)
    : options_(std::move(options)), evidence_([&] {
        freshness_options it = options_.freshness;
        it.self = options_.self;
        it.data_centre = options_.data_centre;
        return it;
      }()),
      sequence_(first_sequence(options_.boot_id)) {}

void spread::on_list(std::span<const member> members) {
  if (std::ranges::equal(members, members_)) {
    return;
  }
  members_.assign(members.begin(), members.end());
  neighbours_ = overlay_neighbours(options_.self, members_);
  evidence_.on_list(members_);
  for (const std::string& id : neighbours_) {
    peers_[id];
  }
  for (auto& [id, peer] : peers_) {
    const auto it = std::ranges::find(members_, id, &member::id);
    peer.data_centre = it == members_.end() ? "" : it->data_centre;
    peer.is_neighbour = std::ranges::binary_search(neighbours_, id);
  }
  update_ready();
}

std::vector<spread_action> spread::tick(time_point now) {
  actions out;
  if (next_heartbeat_ && now < *next_heartbeat_) {
    return out;
  }
  next_heartbeat_ = now + options_.heartbeat_interval;
  std::erase_if(peers_, [&](const auto& it) {
    return !it.second.is_neighbour && now - it.second.heard_at > heard_limit;
  });
  heartbeat it;
  it.sequence = ++sequence_;
  it.boot_id = options_.boot_id;
  it.revision = replica_.revision();
  it.withdrawal_digest = withdrawn_.digest();
  it.ready = ready_;
  it.ages = evidence_.ages(now);
  evidence_.on_heartbeat_sent(sequence_, now);
  for (const auto& [id, peer] : peers_) {
    it.echo = peer.sequence;
    out.emplace_back(send_message{id, it});
  }
  return out;
}

std::vector<spread_action> spread::on_message(std::string_view peer, const message& it,
                                              time_point now) {
  actions out;
  const auto [entry, is_new] = peers_.try_emplace(std::string(peer));
  if (is_new) {
    const auto listed = std::ranges::find(members_, peer, &member::id);
    entry->second.data_centre = listed == members_.end() ? "" : listed->data_centre;
  }
  peer_state& state = entry->second;
  state.heard_at = now;
  std::visit([&](const auto& what) { receive(state, peer, what, now, out); }, it);
  update_ready();
  return out;
}

void spread::receive(peer_state& peer, std::string_view id, const heartbeat& it, time_point now,
                     actions& out) {
  peer.revision = peer.boot_id == it.boot_id ? std::max(peer.revision, it.revision) : it.revision;
  peer.boot_id = it.boot_id;
  peer.sequence = it.sequence;
  evidence_.on_heartbeat(peer.data_centre, it.echo, it.ages, now);
  if (it.ready) {
    replica_.on_peer_answer(id, {peer.data_centre, it.revision});
  }
  compare_revisions(peer, id, it, now, out);
  if (it.withdrawal_digest == withdrawn_.digest()) {
    for (const withdrawal& entry : withdrawn_.all()) {
      withdrawn_.on_held_by(entry.key_id, id);
    }
  } else if (now - peer.withdrawals_asked_at >= options_.repeat_after) {
    peer.withdrawals_asked_at = now;
    out.emplace_back(send_message{std::string(id), withdrawals_request{withdrawn_.buckets()}});
  }
}

void spread::compare_revisions(peer_state& peer, std::string_view id, const heartbeat& it,
                               time_point now, actions& out) {
  if (it.revision > replica_.revision()) {
    request_configuration(id, false, now, out);
  } else if (it.revision < replica_.revision() && now - peer.sent_at >= options_.repeat_after) {
    // A peer without a matching delta asks for the snapshot itself, from one peer only.
    send_configuration(peer, id, it.revision, false, now, out);
  }
}

void spread::request_configuration(std::string_view id, bool snapshot, time_point now,
                                   actions& out) {
  if (!requested_at_ || now - *requested_at_ >= options_.repeat_after) {
    requested_at_ = now;
    out.emplace_back(send_message{std::string(id), config_request{replica_.revision(), snapshot}});
  }
}

void spread::send_configuration(peer_state& peer, std::string_view id, std::uint64_t known,
                                bool allow_snapshot, time_point now, actions& out) {
  if (known >= replica_.revision()) {
    return;
  }
  if (auto deltas = replica_.deltas_since(known)) {
    out.emplace_back(send_message{std::string(id), config_delta{std::move(*deltas)}});
  } else if (allow_snapshot) {
    out.emplace_back(send_message{std::string(id), config_snapshot{replica_.current()}});
  } else {
    return;
  }
  peer.sent_at = now;
  peer.revision = replica_.revision();
}

void spread::receive(peer_state& peer, std::string_view id, const config_delta& it, time_point now,
                     actions& out) {
  const std::uint64_t before = replica_.revision();
  bool fits = true;
  bool is_corrupt = false;
  for (const configuration_delta& delta : it.deltas) {
    peer.revision = std::max(peer.revision, delta.revision);
    is_corrupt = delta.base_revision == replica_.revision();
    fits = replica_.apply(delta) != apply_outcome::needs_snapshot;
    if (!fits) {
      break;
    }
  }
  announce(before, id, now, out);
  if (!fits) {
    request_configuration(id, is_corrupt, now, out);
  }
}

void spread::receive(peer_state& peer, std::string_view id, const config_request& it,
                     time_point now, actions& out) {
  if (it.snapshot && it.revision < replica_.revision()) {
    out.emplace_back(send_message{std::string(id), config_snapshot{replica_.current()}});
    peer.sent_at = now;
  } else {
    send_configuration(peer, id, it.revision, true, now, out);
  }
}

void spread::receive(peer_state& peer, std::string_view id, const config_snapshot& it,
                     time_point now, actions& out) {
  const std::uint64_t before = replica_.revision();
  peer.revision = std::max(peer.revision, it.version.revision);
  replica_.apply(it.version);
  announce(before, id, now, out);
}

void spread::announce(std::uint64_t before, std::string_view except, time_point now, actions& out) {
  if (replica_.revision() == before) {
    return;
  }
  requested_at_.reset();
  const std::string& document = replica_.current().document;
  if (options_.is_listed) {
    withdrawn_.prune(replica_.revision(), [this, &document](std::string_view key_id) {
      return options_.is_listed(document, key_id);
    });
  }
  out.emplace_back(configuration_changed{replica_.revision()});
  for (auto& [id, peer] : peers_) {
    if (id != except && peer.revision < replica_.revision()) {
      send_configuration(peer, id, before, false, now, out);
    }
  }
}

void spread::receive(peer_state& /*peer*/, std::string_view id, const withdrawals& it,
                     time_point /*now*/, actions& out) {
  merge(it.entries, id, false, out);
  if (it.confirm) {
    withdrawals_held held;
    for (const withdrawal& entry : it.entries) {
      held.key_ids.push_back(entry.key_id);
    }
    out.emplace_back(send_message{std::string(id), std::move(held)});
  }
  for (const withdrawal& entry : it.entries) {
    withdrawn_.on_held_by(entry.key_id, id);
  }
}

void spread::receive(peer_state& /*peer*/, std::string_view id, const withdrawals_request& it,
                     time_point /*now*/, actions& out) {
  if (auto entries = withdrawn_.delta(it.buckets); !entries.empty()) {
    out.emplace_back(send_message{std::string(id), withdrawals{std::move(entries), false}});
  }
}

void spread::receive(peer_state& /*peer*/, std::string_view id, const withdrawals_held& it,
                     time_point /*now*/, actions& /*out*/) {
  for (const std::string& key_id : it.key_ids) {
    withdrawn_.on_held_by(key_id, id);
  }
}

void spread::merge(std::span<const withdrawal> entries, std::string_view from, bool confirm,
                   actions& out) {
  const std::vector<withdrawal> added = withdrawn_.merge(entries);
  if (added.empty()) {
    return;
  }
  keys_withdrawn event;
  for (const withdrawal& it : added) {
    event.key_ids.push_back(it.key_id);
  }
  out.emplace_back(std::move(event));
  for (const auto& [id, peer] : peers_) {
    if (id != from) {
      out.emplace_back(send_message{id, withdrawals{added, confirm}});
    }
  }
}

std::vector<spread_action> spread::on_store_head(const std::optional<configuration_version>& head,
                                                 time_point sent, time_point now) {
  actions out;
  const std::uint64_t before = replica_.revision();
  evidence_.on_store_read(sent);
  replica_.on_store_answer(head ? head->revision : 0);
  if (head) {
    replica_.apply(*head);
  }
  announce(before, {}, now, out);
  update_ready();
  return out;
}

std::vector<spread_action> spread::withdraw(std::string_view key_id, time_point /*now*/) {
  actions out;
  const bool is_listed =
      !options_.is_listed || options_.is_listed(replica_.current().document, key_id);
  // A key that is not listed here may be added by a revision on its way, so the entry must stay.
  const withdrawal entry{std::string(key_id), replica_.revision() + (is_listed ? 0 : 1)};
  merge({&entry, 1}, {}, true, out);
  return out;
}

bool spread::is_durable(std::string_view key_id) const {
  const auto others = std::ranges::count_if(members_, [&](const member& it) {
    return it.id != options_.self && it.state != member_state::leaving;
  });
  return withdrawn_.is_durable(key_id, static_cast<std::size_t>(others));
}

void spread::update_ready() {
  ready_ = replica_.is_ready(options_.self, members_);
}

} // namespace boragedoor::replication
