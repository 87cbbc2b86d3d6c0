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
  message what;
};
/// A new configuration is in force on this instance.
struct configuration_changed {
  std::uint64_t revision = 0;
};
/// Keys to stop: end their requests, connections and streams.
struct keys_withdrawn {
  std::vector<std::string> key_ids;
};

using spread_action = std::variant<send_message, configuration_changed, keys_withdrawn>;

struct spread_options {
  std::string self;
  std::string data_centre;
  std::string boot_id;
  duration heartbeat_interval = seconds(1);
  /// A request without an effect is repeated, and the same state sent to the same peer again, only
  /// after this time.
  duration repeat_after = milliseconds(900);
  /// Tells whether a configuration document lists a key id, for pruning withdrawals.
  std::function<bool(std::string_view document, std::string_view key_id)> is_listed;
  freshness_options freshness;
};

/// Floods configuration changes and withdrawals over the overlay and repairs losses by heartbeats.
/// Owns the replicated state of one instance. The daemon carries out the returned actions and calls
/// `tick` at least every 100 ms.
class spread {
public:
  explicit spread(spread_options options);
  // The withdrawal set asks the present document of this object.
  spread(const spread&) = delete;
  spread& operator=(const spread&) = delete;
  spread(spread&&) = delete;
  spread& operator=(spread&&) = delete;
  ~spread() = default;

  /// Takes over the platform's list and computes the neighbours.
  void on_list(std::span<const member> members);
  std::vector<spread_action> tick(time_point now);
  std::vector<spread_action> on_message(std::string_view peer, const message& it, time_point now);
  /// The store answered a read of `config/head` that was sent at `sent`; empty when no
  /// configuration was ever accepted.
  std::vector<spread_action> on_store_head(const std::optional<configuration_version>& head,
                                           time_point sent, time_point now);
  /// This instance accepted the withdrawal of a key.
  std::vector<spread_action> withdraw(std::string_view key_id, time_point now);
  /// The store is known to hold the withdrawal.
  void on_withdrawal_stored(std::string_view key_id) { withdrawn_.on_stored(key_id); }

  [[nodiscard]] const std::vector<std::string>& neighbours() const { return neighbours_; }
  [[nodiscard]] const configuration_replica& configuration() const { return replica_; }
  [[nodiscard]] const withdrawal_set& withdrawn() const { return withdrawn_; }
  [[nodiscard]] bool is_durable(std::string_view key_id) const;
  [[nodiscard]] bool is_fresh(time_point now) const { return evidence_.is_fresh(now); }
  [[nodiscard]] const freshness_evidence& evidence() const { return evidence_; }
  /// True when bootstrap is finished; see `configuration_replica::is_ready`.
  [[nodiscard]] bool is_ready() const { return ready_; }

private:
  struct peer_state {
    std::string data_centre;
    std::string boot_id;
    /// Last heartbeat received, to echo.
    std::uint64_t sequence = 0;
    /// Highest revision that the peer is known to have or was just sent.
    std::uint64_t revision = 0;
    time_point sent_at;
    time_point withdrawals_asked_at;
    time_point heard_at;
    bool is_neighbour = false;
  };
  using actions = std::vector<spread_action>;

  void receive(peer_state& peer, std::string_view id, const heartbeat& it, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const config_delta& it, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const config_request& it, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const config_snapshot& it, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const withdrawals& it, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const withdrawals_request& it, time_point now,
               actions& out);
  void receive(peer_state& peer, std::string_view id, const withdrawals_held& it, time_point now,
               actions& out);
  void compare_revisions(peer_state& peer, std::string_view id, const heartbeat& it, time_point now,
                         actions& out);
  void request_configuration(std::string_view id, bool snapshot, time_point now, actions& out);
  void send_configuration(peer_state& peer, std::string_view id, std::uint64_t known,
                          bool allow_snapshot, time_point now, actions& out);
  void announce(std::uint64_t before, std::string_view except, time_point now, actions& out);
  void merge(std::span<const withdrawal> entries, std::string_view from, bool confirm,
             actions& out);
  void update_ready();

  spread_options options_;
  configuration_replica replica_;
  withdrawal_set withdrawn_;
  freshness_evidence evidence_;
  std::vector<member> members_;
  std::vector<std::string> neighbours_;
  std::map<std::string, peer_state, std::less<>> peers_;
  std::uint64_t sequence_ = 0;
  std::optional<time_point> next_heartbeat_;
  std::optional<time_point> requested_at_;
  bool ready_ = false;
};

} // namespace boragedoor::replication
