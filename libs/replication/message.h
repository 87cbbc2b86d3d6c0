#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "replication/configuration_replica.h"
#include "replication/freshness_evidence.h"
#include "replication/withdrawal_set.h"

namespace boragedoor::replication {

/// Sent to each neighbour every `heartbeat_interval`.
struct heartbeat {
  std::uint64_t sequence = 0;
  /// Sequence of the receiver's last heartbeat that the sender has received; 0 for none.
  std::uint64_t echo = 0;
  std::string boot_id;
  std::uint64_t revision = 0;
  std::uint64_t withdrawal_digest = 0;
  /// Whether the sender has finished its bootstrap.
  bool ready = false;
  evidence_ages ages;

  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};
/// Configuration changes in ascending order of revision.
struct config_delta {
  std::vector<configuration_delta> deltas;

  friend bool operator==(const config_delta&, const config_delta&) = default;
};
/// Requests the changes from `revision` to the current revision.
struct config_request {
  std::uint64_t revision = 0;
  /// Requests a snapshot because a delta could not be applied to its base revision.
  bool snapshot = false;

  friend bool operator==(const config_request&, const config_request&) = default;
};
struct config_snapshot {
  configuration_version version;

  friend bool operator==(const config_snapshot&, const config_snapshot&) = default;
};
struct withdrawals {
  std::vector<withdrawal> entries;
  /// The receiver must confirm with `withdrawals_held`.
  bool confirm = false;

  friend bool operator==(const withdrawals&, const withdrawals&) = default;
};
/// Requests the entries in the buckets whose hashes differ.
struct withdrawals_request {
  withdrawal_buckets_digest buckets{};

  friend bool operator==(const withdrawals_request&, const withdrawals_request&) = default;
};
struct withdrawals_held {
  std::vector<std::string> key_ids;

  friend bool operator==(const withdrawals_held&, const withdrawals_held&) = default;
};

using message = std::variant<heartbeat, config_delta, config_request, config_snapshot, withdrawals,
                             withdrawals_request, withdrawals_held>;

/// `decode` rejects larger messages. In bytes.
constexpr std::size_t max_message_size = std::size_t{2} * 1024 * 1024;

/// Encodes a message as CBOR: an array of the alternative's index and an array of its fields.
std::string encode(const message& value);
/// Decodes a message. Fails with `protocol` for input that `encode` does not produce.
result<message> decode(std::string_view bytes);

} // namespace boragedoor::replication
