#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/member.h"

namespace boragedoor::replication {

/// One accepted configuration.
struct configuration_version {
  std::uint64_t revision = 0;
  std::string document;

  friend bool operator==(const configuration_version&, const configuration_version&) = default;
};

/// Hash by which replicas of the same revision check that they hold the same document.
std::uint64_t document_hash(std::string_view document);

/// Replaces one range of the document of `base_revision`. A configuration change is small, so one
/// range between the common prefix and suffix keeps deltas short without a structured comparison.
struct configuration_delta {
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  std::uint64_t offset = 0;
  std::uint64_t removed = 0;
  std::string inserted;
  /// Hash of the resulting document.
  std::uint64_t hash = 0;

  friend bool operator==(const configuration_delta&, const configuration_delta&) = default;
};

configuration_delta make_delta(const configuration_version& base,
                               const configuration_version& next);

enum class apply_outcome {
  applied,
  /// Not newer than what the replica has; nothing changed.
  stale,
  /// Does not continue the replica's revision or document: a snapshot is needed.
  needs_snapshot,
};

/// What one peer said about its configuration during bootstrap.
struct bootstrap_answer {
  std::string data_centre;
  std::uint64_t revision = 0;
};

/// The accepted configuration as one instance knows it.
class configuration_replica {
public:
  /// Deltas kept for peers that are behind.
  static constexpr std::size_t delta_history = 32;
  /// Bytes of inserted text in kept deltas, so that large changes do not fill the memory.
  static constexpr std::size_t delta_history_bytes = std::size_t{1} << 20U;
  /// Peers that must answer during bootstrap when the store does not (all, if fewer).
  static constexpr std::size_t bootstrap_peers = 3;
  static constexpr std::size_t bootstrap_data_centres = 2;

  /// Takes a whole document, from the store or a peer.
  apply_outcome apply(const configuration_version& snapshot);
  apply_outcome apply(const configuration_delta& delta);

  [[nodiscard]] const configuration_version& current() const { return current_; }
  [[nodiscard]] std::uint64_t revision() const { return current_.revision; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  /// Deltas that lead from `revision` to the present one; empty if they are not kept.
  [[nodiscard]] std::optional<std::vector<configuration_delta>>
  deltas_since(std::uint64_t revision) const;

  /// The store answered that its head has this revision (0: none was ever accepted).
  void on_store_answer(std::uint64_t revision);
  /// A peer that is itself ready answered. Answers of peers that are still starting must not be
  /// reported: three instances that start together would otherwise confirm an empty configuration.
  void on_peer_answer(std::string_view instance, bootstrap_answer answer);
  /// True once the replica is known to be no older than the propagation time. `members` is the
  /// platform's list; without other instances only the store counts. Stays true.
  bool is_ready(std::string_view self, std::span<const member> members);

private:
  void adopt(configuration_version next, configuration_delta delta);
  [[nodiscard]] bool has_enough_peers(std::string_view self, std::span<const member> members) const;

  configuration_version current_;
  std::uint64_t hash_ = document_hash({});
  std::deque<configuration_delta> history_;
  std::size_t history_bytes_ = 0;
  std::optional<std::uint64_t> store_revision_;
  std::map<std::string, bootstrap_answer, std::less<>> answers_;
  bool ready_ = false;
};

} // namespace boragedoor::replication
