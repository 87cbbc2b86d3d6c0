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
  /// Time between renewals: three may be lost before the lease expires.
  duration renew_interval = seconds(2);
  /// The local expiry comes this much before the store's, for clock rates that differ.
  duration safety_margin = seconds(1);
  /// Wait of a candidate per rank, so that a free shard costs one or two store calls.
  duration rank_delay = milliseconds(500);
  /// A holder that has not been rank 0 for this long hands the shard over.
  duration hand_over_after = seconds(30);
  /// Time for a task to settle its open orders before a shard is released regardless.
  duration settle_limit = seconds(10);
  /// Candidates of a lower rank than this read the lease key to learn that it is free; 0 when a
  /// watch reports it through `on_seen`.
  std::size_t observer_ranks = 2;
  /// Time between such reads, and between attempts while the store does not answer.
  duration observe_interval = seconds(2);
};

/// Holds the leases of all shards of one instance. One store lease covers them all. The daemon
/// carries out the returned actions, reports each outcome, and calls `tick` at least every 100 ms.
class lease_holder {
public:
  /// Fails with `invalid_argument` if the margin leaves no time between two renewals.
  static result<lease_holder> create(lease_holder_options options);

  /// Takes over the ranks after a change of the platform's list. Shards that are not listed are
  /// given up.
  std::vector<lease_action> on_ranks(std::span<const shard_rank> ranks, time_point now);
  std::vector<lease_action> tick(time_point now);

  std::vector<lease_action> on_granted(request_id request, std::optional<std::string> lease,
                                       time_point now);
  std::vector<lease_action> on_renewed(request_id request, store_outcome outcome, time_point now);
  /// `version` counts only when the outcome is ok.
  std::vector<lease_action> on_created(request_id request, store_outcome outcome,
                                       fencing_token version, time_point now);
  std::vector<lease_action> on_read(request_id request, const lease_read& answer, time_point now);
  std::vector<lease_action> on_deleted(request_id request, store_outcome outcome, time_point now);
  /// A watch reported whether the key of a shard exists. Only a hint: it never makes a holder.
  std::vector<lease_action> on_seen(std::string_view shard, bool exists, time_point now);
  /// The task of a stopping shard has nothing open any more.
  std::vector<lease_action> on_settled(std::string_view shard, time_point now);

  /// Gives up every shard and acquires none from now on.
  std::vector<lease_action> drain(time_point now);
  /// True when a draining holder has no shard left.
  [[nodiscard]] bool is_drained() const;

  /// The permit for a shard that is held or stopping; empty otherwise.
  [[nodiscard]] std::optional<lease_permit> permit(std::string_view shard) const;
  /// True while the shard is held and the lease is valid on this process's monotonic clock.
  [[nodiscard]] bool may_act(std::string_view shard, time_point now) const;
  /// Names of the shards held or stopping.
  [[nodiscard]] std::vector<std::string> held() const;

private:
  enum class phase {
    /// Held by another, or not known to be free.
    watching,
    /// Free: tried at `due`.
    waiting,
    creating,
    /// The outcome of a create is unknown and must be read back.
    reading_back,
    held,
    /// Held, but to be released once its task has settled.
    stopping,
    /// A delete is sent or its outcome is unknown.
    releasing,
  };

  struct shard_state {
    std::optional<std::size_t> rank;
    phase at = phase::watching;
    /// Outstanding request; answers with another id are late and are ignored.
    request_id request = 0;
    fencing_token token = 0;
    /// Set while a create under the present store lease may still take effect.
    bool create_unknown = false;
    time_point due;
    time_point not_preferred_since;
  };

  explicit lease_holder(lease_holder_options options) : options_(std::move(options)) {}

  using actions = std::vector<lease_action>;
  using entry = std::map<std::string, shard_state, std::less<>>::value_type;

  entry* find_request(request_id request);
  void expire(time_point now, actions& out);
  void lose_all(actions& out);
  void renew(time_point now, actions& out);
  void advance(entry& it, time_point now, actions& out);
  void observe(entry& it, time_point now, actions& out);
  void wait_for_turn(entry& it, time_point now);
  void try_create(entry& it, time_point now, actions& out);
  void read(entry& it, time_point now, actions& out);
  void take(entry& it, fencing_token version, time_point now, actions& out);
  void read_back(entry& it, const lease_read& answer, time_point now, actions& out);
  void stop(entry& it, time_point now, actions& out);
  void release(entry& it, time_point now, actions& out);
  void finish_release(entry& it, time_point now, actions& out);
  void hand_over(time_point now, actions& out);
  [[nodiscard]] bool is_own(const lease_record& record) const;
  [[nodiscard]] bool wants_lease(time_point now) const;

  lease_holder_options options_;
  std::map<std::string, shard_state, std::less<>> shards_;
  request_id last_request_ = 0;
  /// Store lease, empty while there is none.
  std::string lease_;
  /// Local expiry: sending time of the last confirmed grant or renewal plus TTL minus margin.
  time_point valid_until_;
  /// Sending times of grants and renewals without an answer.
  std::map<request_id, time_point> renewals_;
  std::optional<request_id> grant_;
  time_point next_renewal_;
  bool draining_ = false;
};

} // namespace boragedoor::control
