#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/time.h"

namespace boragedoor::control {

/// Version of a lease key in the store. Versions only increase, so a higher token belongs to a
/// later holder.
using fencing_token = std::uint64_t;

/// Matches a store answer to the action that requested it.
using request_id = std::uint64_t;

/// Value of the key `lease/{shard}`.
struct lease_record {
  std::string instance;
  /// Id of the process start that acquired the shard.
  std::string boot_id;
  std::string address;
  /// Store lease that the key is attached to. A read-back accepts only a record attached to the
  /// store lease that the process renews: a record attached to an abandoned one is about to expire.
  std::string acquired_by;

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Permission to act on a shard until the lease expires. Compare `valid_until` with the monotonic
/// clock immediately before each send.
struct lease_permit {
  fencing_token token = 0;
  time_point valid_until;

  [[nodiscard]] bool is_valid(time_point now) const { return now < valid_until; }
};

// Actions returned by `lease_holder`. An action with a request id must be answered with the same
// id.

/// Create a store lease with this TTL. Answer: `on_granted`.
struct grant_store_lease {
  request_id request = 0;
  duration ttl{};
};
/// Renew the store lease. Answer: `on_renewed`.
struct renew_store_lease {
  request_id request = 0;
  std::string lease;
};
/// Delete the store lease and all keys attached to it. No answer is expected, because the lease
/// expires anyway.
struct revoke_store_lease {
  std::string lease;
};
/// Write `lease/{shard}` attached to the store lease, only if the key does not exist.
/// Answer: `on_created`.
struct create_lease_key {
  request_id request = 0;
  std::string shard;
  lease_record record;
};
/// Read `lease/{shard}` at the head of the store. Answer: `on_read`.
struct read_lease_key {
  request_id request = 0;
  std::string shard;
};
/// Delete `lease/{shard}` only if it still has this version. Answer: `on_deleted`.
struct delete_lease_key {
  request_id request = 0;
  std::string shard;
  fencing_token expect_version = 0;
};
/// This instance now holds the shard: start a takeover and the shard's tasks.
struct shard_acquired {
  std::string shard;
  fencing_token token = 0;
};
/// The shard is being released: start no new orders, settle the open ones, remove this process from
/// `holders/{shard}`, then call `on_settled`.
struct shard_stopping {
  std::string shard;
  fencing_token token = 0;
};
/// The shard is no longer held: stop acting on it immediately.
struct shard_lost {
  std::string shard;
  fencing_token token = 0;
};
/// The lease key of a released shard has been deleted from the store.
struct shard_released {
  std::string shard;
};

using lease_action = std::variant<grant_store_lease, renew_store_lease, revoke_store_lease,
                                  create_lease_key, read_lease_key, delete_lease_key,
                                  shard_acquired, shard_stopping, shard_lost, shard_released>;

/// Result of a store call, including the case that its effect is unknown.
enum class store_outcome {
  ok,
  /// The key already exists (create) or has a different version (delete).
  conflict,
  /// The store lease does not exist.
  lease_missing,
  /// No answer, or an answer that does not tell whether the call took effect.
  unknown,
};

/// Value and version of a lease key.
struct lease_entry {
  lease_record record;
  fencing_token version = 0;
};

/// Answer to `read_lease_key`.
struct lease_read {
  /// False when the store did not answer.
  bool answered = false;
  /// Empty when the key does not exist.
  std::optional<lease_entry> entry;
};

} // namespace boragedoor::control
