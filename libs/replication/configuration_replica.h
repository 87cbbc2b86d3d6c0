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

/// An accepted configuration document and its revision.
struct configuration_version {
  std::uint64_t revision = 0;
  std::string document;

  friend bool operator==(const configuration_version&, const configuration_version&) = default;
};

/// Returns the hash by which replicas at the same revision check that they hold the same document.
std::uint64_t document_hash(std::string_view document);

/// Replaces one range of the document at `base_revision`. Configuration changes are small, so a
/// single range between the common prefix and suffix keeps deltas short without a structural
/// comparison.
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
  /// Not newer than the current revision; nothing changed.
  stale,
  /// Does not apply to the replica's revision or document: a snapshot is needed.
  needs_snapshot,
};

/// The configuration revision that one peer reported during bootstrap.
struct bootstrap_answer {
  std::string data_centre;
  std::uint64_t revision = 0;
};

/// One instance's replica of the accepted configuration.
class configuration_replica {
public:
  /// Number of deltas kept for peers that are behind.
  static constexpr std::size_t max_history_deltas = 32;
  /// Bytes of inserted text in kept deltas; bounds the memory that large changes use.
  static constexpr std::size_t max_history_bytes = std::size_t{1} << 20U;
  /// Number of peers that must answer during bootstrap if the store does not (all, if fewer).
  static constexpr std::size_t min_bootstrap_peers = 3;
  static constexpr std::size_t min_bootstrap_data_centres = 2;

  /// Applies a whole document from the store or a peer.
  apply_outcome apply(const configuration_version& snapshot);
  apply_outcome apply(const configuration_delta& delta);

  [[nodiscard]] const configuration_version& current() const { return current_; }
  [[nodiscard]] std::uint64_t revision() const { return current_.revision; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  /// Returns the deltas from `revision` to the current revision, or nothing if they are not kept.
  [[nodiscard]] std::optional<std::vector<configuration_delta>>
  deltas_since(std::uint64_t revision) const;

  /// Reports the revision of the store's head (0 if no configuration was ever accepted).
  void on_store_answer(std::uint64_t revision);
  /// Reports the answer of a peer that is ready. Answers of peers that are still starting must not
  /// be reported: otherwise three instances that start together would confirm an empty
  /// configuration.
  void on_peer_answer(std::string_view instance, bootstrap_answer answer);
  /// True once the replica is known to be no older than the propagation time; stays true from then
  /// on. `members` is the platform's list. Without other instances, only an answer of the store
  /// makes the replica ready.
  bool is_ready(std::string_view self, std::span<const member> members);

private:
  void install(configuration_version next, configuration_delta delta);
  [[nodiscard]] bool has_enough_peers(std::string_view self, std::span<const member> members) const;

  configuration_version current_;
  std::uint64_t hash_ = document_hash({});
  std::deque<configuration_delta> history_;
  std::size_t history_bytes_ = 0;
  std::optional<std::uint64_t> store_revision_;
  std::map<std::string, bootstrap_answer, std::less<>> peer_answers_;
  bool ready_ = false;
};

} // namespace boragedoor::replication
