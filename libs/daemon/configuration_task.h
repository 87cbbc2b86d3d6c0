#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/sigc++.h>

#include "configuration/configuration.h"
#include "configuration/diff.h"
#include "daemon/daemon_context.h"
#include "daemon/membership_task.h"
#include "daemon/peer_task.h"
#include "replication/replicator.h"
#include "store/store_client.h"

namespace boragedoor::daemon {

using configuration_ptr = std::shared_ptr<const config::configuration>;

/// How a proposal ended.
struct proposal_result {
  enum class outcome { accepted, invalid, conflict, unknown, unavailable };
  outcome what = outcome::unavailable;
  std::uint64_t revision = 0;
  findings problems;
  /// What changed since the revision that the proposal was based on.
  std::vector<config::change> changes;
};

/// How the issue of a key ended. The key text exists only here.
struct key_result {
  std::optional<error> failure;
  std::string key;
  std::string key_id;
  std::uint64_t revision = 0;
};

/// How far a withdrawal has spread when it is acknowledged.
struct withdrawal_result {
  std::string key_id;
  /// Whether enough other instances or the store hold it, so that no single loss undoes it.
  bool durable = false;
  /// Instances on the platform's list that are known to hold it, this one included.
  std::size_t holders = 1;
};

/// Owns the replica of the accepted configuration and the withdrawal set of this instance.
class configuration_task {
public:
  configuration_task(const daemon_context& context, store::store_client& store, peer_task& peers);

  void start();
  void on_list(std::span<const listed_instance> list);

  /// Proposes a document that was edited from revision `based_on`.
  void propose(std::uint64_t based_on, std::string_view document,
               std::function<void(const proposal_result&)> done);
  void issue_key(const std::string& workspace, std::function<void(const key_result&)> done);
  /// Withdraws a key on this instance at once and reports when other instances or the store hold
  /// the withdrawal too, or after a bounded wait.
  void withdraw_key(const std::string& key_id, std::function<void(const withdrawal_result&)> done);

  [[nodiscard]] std::uint64_t revision() const { return spread_.configuration().revision(); }
  [[nodiscard]] std::string document() const { return spread_.configuration().current().document; }
  /// True once the instance has a configuration that is known to be no older than the propagation
  /// time, or knows that none was ever accepted.
  [[nodiscard]] bool is_ready() const { return ready_; }
  [[nodiscard]] bool is_fresh() const { return fresh_; }

  /// Emitted for each revision that comes into force.
  sigc::signal<void(const configuration_ptr&)>& applied() { return applied_; }
  sigc::signal<void(const std::vector<std::string>&)>& keys_withdrawn() { return keys_withdrawn_; }
  /// Emitted when evidence of freshness is lost (false) or back (true).
  sigc::signal<void(bool)>& freshness_changed() { return freshness_changed_; }
  sigc::signal<void()>& became_ready() { return became_ready_; }
  /// Emitted when the neighbours in the overlay change.
  sigc::signal<void(const std::vector<std::string>&)>& neighbours_changed() {
    return neighbours_changed_;
  }

private:
  struct head_state {
    config::configuration value;
    std::uint64_t version = 0;
  };
  struct open_withdrawal {
    std::string key_id;
    time_point deadline;
    std::function<void(const withdrawal_result&)> done;
  };
  using edit_function =
      std::function<result<config::configuration>(const config::configuration& head)>;

  void tick();
  void run(std::span<const replication::replication_action> actions);
  void carry_out(const replication::send_message& it);
  void carry_out(const replication::configuration_changed& it);
  void carry_out(const replication::keys_withdrawn& it);
  void on_message(const std::string& peer, const json& message);
  void read_head();
  void arm_watch();
  void accept_head(const std::optional<store::entry>& head, time_point sent);
  void fold_withdrawals();
  void edit_head(int attempts, edit_function edit, std::function<void(result<std::uint64_t>)> done);
  void write_head(const config::configuration& next, std::uint64_t version,
                  std::function<void(store::write_result)> done);
  [[nodiscard]] bool is_watcher() const;
  [[nodiscard]] std::vector<config::change> changes_since(std::uint64_t revision,
                                                          const config::configuration& head) const;
  [[nodiscard]] bool is_durably_withdrawn(const std::string& key_id) const;
  void check_withdrawals();
  void check_state();

  const daemon_context& context_;
  store::store_client& store_;
  peer_task& peers_;
  replication::replicator spread_;
  net::timer timer_;
  configuration_ptr current_;
  /// Revisions that were in force, to tell a losing proposer what changed.
  std::deque<configuration_ptr> history_;
  std::vector<member> members_;
  std::vector<std::string> neighbours_;
  std::vector<open_withdrawal> open_withdrawals_;
  /// Latest time at which a read of the head was started.
  time_point last_read_;
  std::uint64_t watch_revision_ = 0;
  bool watching_ = false;
  bool reading_ = false;
  bool folding_ = false;
  time_point next_fold_;
  bool ready_ = false;
  bool fresh_ = true;
  sigc::signal<void(const configuration_ptr&)> applied_;
  sigc::signal<void(const std::vector<std::string>&)> keys_withdrawn_;
  sigc::signal<void(bool)> freshness_changed_;
  sigc::signal<void()> became_ready_;
  sigc::signal<void(const std::vector<std::string>&)> neighbours_changed_;
};

} // namespace boragedoor::daemon
