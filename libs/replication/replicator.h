#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "replication/configuration_replica.h"
#include "replication/freshness_evidence.h"
#include "replication/message.h"
#include "replication/overlay.h"
#include "replication/withdrawal_set.h"

namespace boragedoor::replication {

/// Send a message to a neighbour.
struct send_message {
  std::string peer;
  message payload;
};
/// A new configuration has been applied on this instance.
struct configuration_changed {
  std::uint64_t revision = 0;
};
/// Keys were withdrawn: end their requests, connections and streams.
struct keys_withdrawn {
  std::vector<std::string> key_ids;
};

using replication_action = std::variant<send_message, configuration_changed, keys_withdrawn>;

struct replicator_options {
  std::string self;
  std::string data_centre;
  std::string boot_id;
  duration heartbeat_interval = seconds(1);
  /// Minimum time before a request without effect is repeated and before the same state is sent to
  /// the same peer again.
  duration repeat_interval = milliseconds(900);
  /// Returns whether a configuration document lists a key id; used to prune withdrawals.
  std::function<bool(std::string_view document, std::string_view key_id)> is_listed;
  freshness_options freshness;
};

/// Owns the replicated state of one instance. Floods configuration changes and withdrawals over the
/// overlay, and repairs losses by comparing state in heartbeats. The caller executes the returned
/// actions and calls `tick` at least every 100 ms.
class replicator {
public:
  explicit replicator(replicator_options options);
  // The withdrawal set refers to the current document of this object.
  replicator(const replicator&) = delete;
  replicator& operator=(const replicator&) = delete;
  replicator(replicator&&) = delete;
  replicator& operator=(replicator&&) = delete;
  ~replicator() = default;

  /// Applies the platform's instance list and computes the neighbours.
  void on_instance_list(std::span<const member> members);
  std::vector<replication_action> tick(time_point now);
  std::vector<replication_action> on_message(std::string_view peer, const message& received,
                                             time_point now);
  /// Handles the store's answer to a read of `config/head` that was sent at `sent`. `head` is empty
  /// if no configuration was ever accepted.
  std::vector<replication_action> on_store_head(const std::optional<configuration_version>& head,
                                                time_point sent, time_point now);
  /// Withdraws a key on this instance and propagates the withdrawal.
  std::vector<replication_action> withdraw(std::string_view key_id, time_point now);
  /// Reports that the store holds the withdrawal.
  void on_withdrawal_stored(std::string_view key_id) { withdrawn_.on_stored(key_id); }

  [[nodiscard]] const std::vector<std::string>& neighbours() const { return neighbours_; }
  [[nodiscard]] const configuration_replica& configuration() const { return replica_; }
  [[nodiscard]] const withdrawal_set& withdrawn() const { return withdrawn_; }
  [[nodiscard]] bool is_durable(std::string_view key_id) const;
  [[nodiscard]] bool is_fresh(time_point now) const { return evidence_.is_fresh(now); }
  [[nodiscard]] const freshness_evidence& evidence() const { return evidence_; }
  /// True if bootstrap is finished; see `configuration_replica::is_ready`.
  [[nodiscard]] bool is_ready() const { return ready_; }

private:
  struct peer_state {
    std::string data_centre;
    std::string boot_id;
    /// Sequence of the last heartbeat received, which is echoed to the peer.
    std::uint64_t sequence = 0;
    /// Highest revision that the peer is known to have or has been sent.
    std::uint64_t revision = 0;
    time_point configuration_sent_at;
    time_point withdrawals_requested_at;
    time_point last_heard_at;
    bool is_neighbour = false;
  };
  using actions = std::vector<replication_action>;

  void receive(peer_state& peer, std::string_view id, const heartbeat& received, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const config_delta& received, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const config_request& received,
               time_point now, actions& out);
  void receive(peer_state& peer, std::string_view id, const config_snapshot& received,
               time_point now, actions& out);
  void receive(peer_state& peer, std::string_view id, const withdrawals& received, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const withdrawals_request& received,
               time_point now, actions& out);
  void receive(peer_state& peer, std::string_view id, const withdrawals_held& received,
               time_point now, actions& out);
  void compare_revisions(peer_state& peer, std::string_view id, const heartbeat& received,
                         time_point now, actions& out);
  void request_configuration(std::string_view id, bool snapshot, time_point now, actions& out);
  void send_configuration(peer_state& peer, std::string_view id, std::uint64_t known_revision,
                          bool allow_snapshot, time_point now, actions& out);
  void publish_change(std::uint64_t previous_revision, std::string_view source, time_point now,
                      actions& out);
  void merge_withdrawals(std::span<const withdrawal> entries, std::string_view from, bool confirm,
                         actions& out);
  void update_ready();

  replicator_options options_;
  configuration_replica replica_;
  withdrawal_set withdrawn_;
  freshness_evidence evidence_;
  std::vector<member> members_;
  std::vector<std::string> neighbours_;
  std::map<std::string, peer_state, std::less<>> peers_;
  std::uint64_t heartbeat_sequence_ = 0;
  std::optional<time_point> next_heartbeat_;
  std::optional<time_point> configuration_requested_at_;
  bool ready_ = false;
};

} // namespace boragedoor::replication
