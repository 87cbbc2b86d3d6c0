#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragedoor::replication {

/// A withdrawn key.
struct withdrawal {
  std::string key_id;
  /// A configuration revision that lists the key. A replica at an earlier revision keeps the entry,
  /// because a revision that it has not received yet may still add the key.
  std::uint64_t listed_revision = 0;

  friend bool operator==(const withdrawal&, const withdrawal&) = default;
};

/// Number of hash buckets. A peer compares the bucket hashes to find which entries the other may
/// lack.
constexpr std::size_t withdrawal_buckets = 16;
using withdrawal_buckets_digest = std::array<std::uint32_t, withdrawal_buckets>;

/// Grow-only set of withdrawn key ids, merged by union. An entry is pruned only after the
/// configuration has dropped the key. The key is then unknown and stays invalid, because revisions
/// never decrease and key ids are never reissued.
class withdrawal_set {
public:
  /// Number of other instances that must hold a withdrawal before it is acknowledged (all, if
  /// fewer).
  static constexpr std::size_t min_holders = 2;

  /// Adds entries and returns those that are new. Entries of keys that the configuration has
  /// dropped are ignored.
  std::vector<withdrawal> merge(std::span<const withdrawal> entries);
  [[nodiscard]] bool contains(std::string_view key_id) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  /// Hash of the set, independent of the order in which entries were added.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] const withdrawal_buckets_digest& buckets() const { return buckets_; }
  /// Returns the entries in all buckets whose hash differs from `other`: a superset of the entries
  /// that the other set lacks.
  [[nodiscard]] std::vector<withdrawal> delta(const withdrawal_buckets_digest& other) const;
  [[nodiscard]] std::vector<withdrawal> all() const;

  /// Record that another instance, or the store, is known to hold the entry.
  void add_holder(std::string_view key_id, std::string_view instance);
  void on_stored(std::string_view key_id);
  /// Returns the number of other instances known to hold the entry, counted up to `min_holders`.
  [[nodiscard]] std::size_t holder_count(std::string_view key_id) const {
    const auto it = entries_.find(key_id);
    return it == entries_.end() ? 0 : it->second.holders.size();
  }
  /// True if the withdrawal may be acknowledged. Without other instances the store must hold it,
  /// because the memory of one process is not durable.
  [[nodiscard]] bool is_durable(std::string_view key_id, std::size_t other_instances) const;

  /// Removes the entries that the configuration at `revision` no longer lists, and ignores them in
  /// later merges. Returns the number of entries removed.
  std::size_t prune(std::uint64_t revision,
                    const std::function<bool(std::string_view key_id)>& is_listed);

private:
  struct entry {
    std::uint64_t listed_revision = 0;
    std::set<std::string, std::less<>> holders;
    bool stored = false;
  };

  void toggle_in_digest(std::string_view key_id);
  [[nodiscard]] bool is_prunable(const withdrawal& candidate) const;

  std::map<std::string, entry, std::less<>> entries_;
  std::uint64_t digest_ = 0;
  withdrawal_buckets_digest buckets_{};
  std::uint64_t revision_ = 0;
  std::function<bool(std::string_view)> is_listed_;
};

} // namespace boragedoor::replication
