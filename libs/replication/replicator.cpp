#include "replication/replicator.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace boragedoor::replication {

namespace {

/// A peer that is not a neighbour in this instance's list, such as a new instance that is not
/// listed yet, is served until it has not been heard for this long.
constexpr duration unlisted_peer_timeout = seconds(3);

/// Returns a start sequence that depends on the boot id, so that an echo of an earlier process's
/// heartbeat is not accepted as an echo of this process. Below 2^30 to keep the encoding short.
std::uint64_t first_sequence(std::string_view boot_id) {
  return hash64(boot_id) % (std::uint64_t{1} << 30U);
}

} // namespace

replicator::replicator(replicator_options options)
    : options_(std::move(options)), evidence_([&] {
        freshness_options it = options_.freshness;
        it.self = options_.self;
        it.data_centre = options_.data_centre;
        return it;
      }()),
      heartbeat_sequence_(first_sequence(options_.boot_id)) {}

void replicator::on_instance_list(std::span<const member> members) {
  if (std::ranges::equal(members, members_)) {
    return;
  }
  members_.assign(members.begin(), members.end());
  neighbours_ = overlay_neighbours(options_.self, members_);
  evidence_.on_instance_list(members_);
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

std::vector<replication_action> replicator::tick(time_point now) {
  actions out;
  if (next_heartbeat_ && now < *next_heartbeat_) {
    return out;
  }
  next_heartbeat_ = now + options_.heartbeat_interval;
  std::erase_if(peers_, [&](const auto& it) {
    return !it.second.is_neighbour && now - it.second.last_heard_at > unlisted_peer_timeout;
  });
  heartbeat it;
  it.sequence = ++heartbeat_sequence_;
  it.boot_id = options_.boot_id;
  it.revision = replica_.revision();
  it.withdrawal_digest = withdrawn_.digest();
  it.ready = ready_;
  it.ages = evidence_.ages(now);
  evidence_.on_heartbeat_sent(heartbeat_sequence_, now);
  for (const auto& [id, peer] : peers_) {
    it.echo = peer.sequence;
    out.emplace_back(send_message{id, it});
  }
  return out;
}

std::vector<replication_action> replicator::on_message(std::string_view peer,
                                                       const message& received, time_point now) {
  actions out;
  const auto [entry, is_new] = peers_.try_emplace(std::string(peer));
  if (is_new) {
    const auto listed = std::ranges::find(members_, peer, &member::id);
    entry->second.data_centre = listed == members_.end() ? "" : listed->data_centre;
  }
  peer_state& state = entry->second;
  state.last_heard_at = now;
  std::visit([&](const auto& content) { receive(state, peer, content, now, out); }, received);
  update_ready();
  return out;
}

void replicator::receive(peer_state& peer, std::string_view id, const heartbeat& received,
                         time_point now, actions& out) {
  peer.revision = peer.boot_id == received.boot_id ? std::max(peer.revision, received.revision)
                                                   : received.revision;
  peer.boot_id = received.boot_id;
  peer.sequence = received.sequence;
  evidence_.on_heartbeat(peer.data_centre, received.echo, received.ages, now);
  if (received.ready) {
    replica_.on_peer_answer(id, {peer.data_centre, received.revision});
  }
  compare_revisions(peer, id, received, now, out);
  if (received.withdrawal_digest == withdrawn_.digest()) {
    for (const withdrawal& entry : withdrawn_.all()) {
      withdrawn_.add_holder(entry.key_id, id);
    }
  } else if (now - peer.withdrawals_requested_at >= options_.repeat_interval) {
    peer.withdrawals_requested_at = now;
    out.emplace_back(send_message{std::string(id), withdrawals_request{withdrawn_.buckets()}});
  }
}

void replicator::compare_revisions(peer_state& peer, std::string_view id, const heartbeat& received,
                                   time_point now, actions& out) {
  if (received.revision > replica_.revision()) {
    request_configuration(id, false, now, out);
  } else if (received.revision < replica_.revision() &&
             now - peer.configuration_sent_at >= options_.repeat_interval) {
    // No snapshot is sent here: a peer that needs one requests it from a single peer.
    send_configuration(peer, id, received.revision, false, now, out);
  }
}

void replicator::request_configuration(std::string_view id, bool snapshot, time_point now,
                                       actions& out) {
  if (!configuration_requested_at_ ||
      now - *configuration_requested_at_ >= options_.repeat_interval) {
    configuration_requested_at_ = now;
    out.emplace_back(send_message{std::string(id), config_request{replica_.revision(), snapshot}});
  }
}

void replicator::send_configuration(peer_state& peer, std::string_view id,
                                    std::uint64_t known_revision, bool allow_snapshot,
                                    time_point now, actions& out) {
  if (known_revision >= replica_.revision()) {
    return;
  }
  if (auto deltas = replica_.deltas_since(known_revision)) {
    out.emplace_back(send_message{std::string(id), config_delta{std::move(*deltas)}});
  } else if (allow_snapshot) {
    out.emplace_back(send_message{std::string(id), config_snapshot{replica_.current()}});
  } else {
    return;
  }
  peer.configuration_sent_at = now;
  peer.revision = replica_.revision();
}

void replicator::receive(peer_state& peer, std::string_view id, const config_delta& received,
                         time_point now, actions& out) {
  const std::uint64_t previous_revision = replica_.revision();
  bool is_applicable = true;
  bool is_corrupt = false;
  for (const configuration_delta& delta : received.deltas) {
    peer.revision = std::max(peer.revision, delta.revision);
    is_corrupt = delta.base_revision == replica_.revision();
    is_applicable = replica_.apply(delta) != apply_outcome::needs_snapshot;
    if (!is_applicable) {
      break;
    }
  }
  publish_change(previous_revision, id, now, out);
  if (!is_applicable) {
    request_configuration(id, is_corrupt, now, out);
  }
}

void replicator::receive(peer_state& peer, std::string_view id, const config_request& received,
                         time_point now, actions& out) {
  if (received.snapshot && received.revision < replica_.revision()) {
    out.emplace_back(send_message{std::string(id), config_snapshot{replica_.current()}});
    peer.configuration_sent_at = now;
  } else {
    send_configuration(peer, id, received.revision, true, now, out);
  }
}

void replicator::receive(peer_state& peer, std::string_view id, const config_snapshot& received,
                         time_point now, actions& out) {
  const std::uint64_t previous_revision = replica_.revision();
  peer.revision = std::max(peer.revision, received.version.revision);
  replica_.apply(received.version);
  publish_change(previous_revision, id, now, out);
}

void replicator::publish_change(std::uint64_t previous_revision, std::string_view source,
                                time_point now, actions& out) {
  if (replica_.revision() == previous_revision) {
    return;
  }
  configuration_requested_at_.reset();
  const std::string& document = replica_.current().document;
  if (options_.is_listed) {
    withdrawn_.prune(replica_.revision(), [this, &document](std::string_view key_id) {
      return options_.is_listed(document, key_id);
    });
  }
  out.emplace_back(configuration_changed{replica_.revision()});
  for (auto& [id, peer] : peers_) {
    if (id != source && peer.revision < replica_.revision()) {
      send_configuration(peer, id, previous_revision, false, now, out);
    }
  }
}

void replicator::receive(peer_state& /*peer*/, std::string_view id, const withdrawals& received,
                         time_point /*now*/, actions& out) {
  merge_withdrawals(received.entries, id, false, out);
  if (received.confirm) {
    withdrawals_held held;
    for (const withdrawal& entry : received.entries) {
      held.key_ids.push_back(entry.key_id);
    }
    out.emplace_back(send_message{std::string(id), std::move(held)});
  }
  for (const withdrawal& entry : received.entries) {
    withdrawn_.add_holder(entry.key_id, id);
  }
}

void replicator::receive(peer_state& /*peer*/, std::string_view id,
                         const withdrawals_request& received, time_point /*now*/, actions& out) {
  if (auto entries = withdrawn_.delta(received.buckets); !entries.empty()) {
    out.emplace_back(send_message{std::string(id), withdrawals{std::move(entries), false}});
  }
}

void replicator::receive(peer_state& /*peer*/, std::string_view id,
                         const withdrawals_held& received, time_point /*now*/, actions& /*out*/) {
  for (const std::string& key_id : received.key_ids) {
    withdrawn_.add_holder(key_id, id);
  }
}

void replicator::merge_withdrawals(std::span<const withdrawal> entries, std::string_view from,
                                   bool confirm, actions& out) {
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

std::vector<replication_action>
replicator::on_store_head(const std::optional<configuration_version>& head, time_point sent,
                          time_point now) {
  actions out;
  const std::uint64_t previous_revision = replica_.revision();
  evidence_.on_store_read(sent);
  replica_.on_store_answer(head ? head->revision : 0);
  if (head) {
    replica_.apply(*head);
  }
  publish_change(previous_revision, {}, now, out);
  update_ready();
  return out;
}

std::vector<replication_action> replicator::withdraw(std::string_view key_id, time_point /*now*/) {
  actions out;
  const bool is_listed =
      !options_.is_listed || options_.is_listed(replica_.current().document, key_id);
  // A key that is not listed here may be added by a revision that has not arrived yet, so the entry
  // must be kept until then.
  const withdrawal entry{std::string(key_id), replica_.revision() + (is_listed ? 0 : 1)};
  merge_withdrawals({&entry, 1}, {}, true, out);
  return out;
}

bool replicator::is_durable(std::string_view key_id) const {
  const auto others = std::ranges::count_if(members_, [&](const member& it) {
    return it.id != options_.self && it.state != member_state::leaving;
  });
  return withdrawn_.is_durable(key_id, static_cast<std::size_t>(others));
}

void replicator::update_ready() {
  ready_ = replica_.is_ready(options_.self, members_);
}

} // namespace boragedoor::replication
