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
  /// A configuration revision that lists the key. A replica behind it keeps the entry, because a
  /// key that it does not list may still be added by a revision on its way.
  std::uint64_t listed_at = 0;

  friend bool operator==(const withdrawal&, const withdrawal&) = default;
};

/// Hashes of the members by bucket, from which a peer finds out roughly what the other lacks.
constexpr std::size_t withdrawal_buckets = 16;
using withdrawal_buckets_digest = std::array<std::uint32_t, withdrawal_buckets>;

/// Grow-only set of withdrawn key ids, merged by union. Entries leave only when the configuration
/// has dropped the key, after which the key is unknown and stays invalid, because revisions never
/// decrease and key ids are never issued again.
class withdrawal_set {
public:
  /// Other instances that must hold a withdrawal before it is acknowledged (all, if fewer).
  static constexpr std::size_t durable_holders = 2;

  /// Returns those entries that were not in the set before.
  std::vector<withdrawal> merge(std::span<const withdrawal> entries);
  [[nodiscard]] bool contains(std::string_view key_id) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  /// Independent of the order in which entries came.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] const withdrawal_buckets_digest& buckets() const { return buckets_; }
  /// Entries in the buckets in which `other` differs: a superset of what the other lacks.
  [[nodiscard]] std::vector<withdrawal> delta(const withdrawal_buckets_digest& other) const;
  [[nodiscard]] std::vector<withdrawal> all() const;

  /// Another instance, or the store, is known to hold the entry.
  void on_held_by(std::string_view key_id, std::string_view instance);
  void on_stored(std::string_view key_id);
  /// Other instances that are known to hold the entry.
  [[nodiscard]] std::size_t holder_count(std::string_view key_id) const {
    const auto it = entries_.find(key_id);
    return it == entries_.end() ? 0 : it->second.holders.size();
  }
  /// True when the withdrawal may be acknowledged. With no other instance only the store counts,
  /// because the memory of one process is not durable.
  [[nodiscard]] bool is_durable(std::string_view key_id, std::size_t other_instances) const;

  /// Drops entries that the configuration of `revision` no longer lists, now and in later merges.
  /// Returns how many were dropped.
  std::size_t prune(std::uint64_t revision,
                    const std::function<bool(std::string_view key_id)>& is_listed);

private:
  struct entry {
    std::uint64_t listed_at = 0;
    std::set<std::string, std::less<>> holders;
    bool stored = false;
  };

  void toggle(std::string_view key_id);
  [[nodiscard]] bool is_dropped(const withdrawal& it) const;

  std::map<std::string, entry, std::less<>> entries_;
  std::uint64_t digest_ = 0;
  withdrawal_buckets_digest buckets_{};
  std::uint64_t revision_ = 0;
  std::function<bool(std::string_view)> is_listed_;
};

} // namespace boragedoor::replication
