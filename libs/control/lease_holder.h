#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/lease_types.h"
#include "control/shard_assignment.h"

namespace boragedoor::control {

struct lease_holder_options {
  std::string instance;
  std::string boot_id;
  std::string address;
  /// TTL of the store lease.
  duration ttl = seconds(6);
  /// Time between renewals. Three may be lost before the lease expires.
  duration renew_interval = seconds(2);
  /// The lease expires locally this long before it expires in the store, because clock rates
  /// differ.
  duration safety_margin = seconds(1);
  /// Delay per rank before a candidate tries to create the lease key, so that a free shard costs
  /// only one or two store calls.
  duration create_delay_per_rank = milliseconds(500);
  /// A holder whose rank has not been 0 for this long hands the shard over.
  duration hand_over_delay = seconds(30);
  /// Time for a task to settle its open orders before the shard is released regardless.
  duration settle_timeout = seconds(10);
  /// Candidates whose rank number is below this poll the lease key to detect that it is free. Set
  /// to 0 when a watch reports it through `on_key_observed`.
  std::size_t polling_ranks = 2;
  /// Time between these reads, and between attempts while the store does not answer.
  duration poll_interval = seconds(2);
};

/// Acquires, renews and releases the shard leases of one instance. A single store lease covers all
/// of them. The caller executes the returned actions, reports each outcome, and calls `tick` at
/// least every 100 ms.
class lease_holder {
public:
  /// Fails with `invalid_argument` if the instance, boot id or address is empty, or if the TTL less
  /// the safety margin does not exceed the renewal interval.
  static result<lease_holder> create(lease_holder_options options);

  /// Applies new ranks after a change of the platform's instance list. Releases held shards that
  /// are not in `ranks`.
  std::vector<lease_action> on_ranks(std::span<const shard_rank> ranks, time_point now);
  std::vector<lease_action> tick(time_point now);

  std::vector<lease_action> on_granted(request_id request, std::optional<std::string> lease,
                                       time_point now);
  std::vector<lease_action> on_renewed(request_id request, store_outcome outcome, time_point now);
  /// `version` is used only when the outcome is `ok`.
  std::vector<lease_action> on_created(request_id request, store_outcome outcome,
                                       fencing_token version, time_point now);
  std::vector<lease_action> on_read(request_id request, const lease_read& answer, time_point now);
  std::vector<lease_action> on_deleted(request_id request, store_outcome outcome, time_point now);
  /// Reports from a watch whether the lease key of a shard exists. This is only a hint: a shard is
  /// acquired only by a create or a read-back.
  std::vector<lease_action> on_key_observed(std::string_view shard, bool exists, time_point now);
  /// Reports that the task of a stopping shard has no open orders.
  std::vector<lease_action> on_settled(std::string_view shard, time_point now);

  /// Releases every shard and acquires no more.
  std::vector<lease_action> drain(time_point now);
  /// True if `drain` was called and every shard is released.
  [[nodiscard]] bool is_drained() const;

  /// Returns the permit for a shard that is held or stopping, otherwise nothing.
  [[nodiscard]] std::optional<lease_permit> permit(std::string_view shard) const;
  /// True if the shard is held or stopping and the lease is valid on this process's monotonic
  /// clock.
  [[nodiscard]] bool may_act(std::string_view shard, time_point now) const;
  /// Returns the names of the shards that are held or stopping.
  [[nodiscard]] std::vector<std::string> held_shards() const;

private:
  enum class shard_phase {
    /// Held by another instance, or not known to be free.
    watching,
    /// Free; the lease key is created at `due`.
    waiting,
    creating,
    /// A create conflicted or its outcome is unknown, so the key must be read back.
    reading_back,
    held,
    /// Held, and released as soon as its task has settled.
    stopping,
    /// A delete was sent and is not confirmed.
    releasing,
  };

  struct shard_state {
    std::optional<std::size_t> rank;
    shard_phase phase = shard_phase::watching;
    /// Outstanding request. Answers with a different id are late and are ignored.
    request_id request = 0;
    fencing_token token = 0;
    /// True while a create under the current store lease may still take effect.
    bool create_unknown = false;
    time_point due;
    time_point not_preferred_since;
  };

  explicit lease_holder(lease_holder_options options) : options_(std::move(options)) {}

  using actions = std::vector<lease_action>;
  using shard_entry = std::map<std::string, shard_state, std::less<>>::value_type;

  shard_entry* find_request(request_id request);
  void expire_if_due(time_point now, actions& out);
  void abandon_store_lease(actions& out);
  void renew_if_due(time_point now, actions& out);
  void advance(shard_entry& shard, time_point now, actions& out);
  void poll_lease_key(shard_entry& shard, time_point now, actions& out);
  void schedule_create(shard_entry& shard, time_point now);
  void try_create(shard_entry& shard, time_point now, actions& out);
  void send_read(shard_entry& shard, time_point now, actions& out);
  void accept_key(shard_entry& shard, fencing_token version, time_point now, actions& out);
  void apply_read(shard_entry& shard, const lease_read& answer, time_point now, actions& out);
  void start_stopping(shard_entry& shard, time_point now, actions& out);
  void release(shard_entry& shard, time_point now, actions& out);
  void finish_release(shard_entry& shard, time_point now, actions& out);
  void hand_over(time_point now, actions& out);
  [[nodiscard]] bool is_own(const lease_record& record) const;
  [[nodiscard]] bool needs_store_lease(time_point now) const;

  lease_holder_options options_;
  std::map<std::string, shard_state, std::less<>> shards_;
  request_id last_request_ = 0;
  /// Id of the current store lease; empty if there is none.
  std::string store_lease_;
  /// Local expiry: the time the last confirmed grant or renewal was sent, plus the TTL, minus the
  /// safety margin.
  time_point valid_until_;
  /// Send times of unanswered grants and renewals.
  std::map<request_id, time_point> pending_renewals_;
  std::optional<request_id> pending_grant_;
  time_point next_renewal_;
  bool draining_ = false;
};

} // namespace boragedoor::control
