#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/time.h"

namespace boragedoor::control {

/// Version of a lease key in the store. It only grows, so that a higher token is a later holder.
using fencing_token = std::uint64_t;

/// Number that ties a store answer to the action that asked for it.
using request_id = std::uint64_t;

/// Value of the key `lease/{shard}`.
struct lease_record {
  std::string instance;
  /// Id of the process start that acquired the shard.
  std::string boot_id;
  std::string address;
  /// Store lease that the key is attached to. A read-back accepts only a record of the store lease
  /// that the process renews: a record of an abandoned one is about to vanish.
  std::string acquired_by;

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Permission to act on a shard, as the lease stands. Compare `valid_until` with the monotonic
/// clock immediately before each send.
struct lease_permit {
  fencing_token token = 0;
  time_point valid_until;

  [[nodiscard]] bool is_valid(time_point now) const { return now < valid_until; }
};

// Actions of the lease holder. Those with a request id need an answer with the same id.

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
/// Delete the store lease with all its keys; needs no answer, because it expires anyway.
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
/// Read `lease/{shard}` from the store's head. Answer: `on_read`.
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
/// This instance holds the shard from now on: start a takeover and its tasks.
struct shard_acquired {
  std::string shard;
  fencing_token token = 0;
};
/// The shard is to be given up: start nothing new, settle what is open, take this process off
/// `holders/{shard}`, then call `on_settled`.
struct shard_stopping {
  std::string shard;
  fencing_token token = 0;
};
/// The shard is no longer held; stop at once.
struct shard_lost {
  std::string shard;
  fencing_token token = 0;
};
/// The key of a shard that was given up is gone from the store.
struct shard_released {
  std::string shard;
};

using lease_action = std::variant<grant_store_lease, renew_store_lease, revoke_store_lease,
                                  create_lease_key, read_lease_key, delete_lease_key,
                                  shard_acquired, shard_stopping, shard_lost, shard_released>;

/// What the store said, or that nobody knows whether the call took effect.
enum class store_outcome {
  ok,
  /// The key exists (create) or has another version (delete).
  conflict,
  /// The store lease does not exist.
  lease_missing,
  /// No answer, or an answer that says nothing about the effect.
  unknown,
};

/// The value of a lease key with its version.
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
