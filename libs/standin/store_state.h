#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace boragedoor::standin {

/// The key-value store without its HTTP interface. Pure: the present time is an argument.
class store_state {
public:
  /// Longest value in bytes, as the platform's store has it.
  static constexpr std::size_t max_value_bytes = 1024UL * 1024;

  struct entry {
    std::string key;
    std::string value;
    std::int64_t version = 0;
  };

  struct change {
    std::string key;
    /// Nothing when the key was deleted.
    std::optional<std::string> value;
    std::int64_t version = 0;
  };

  enum class status { done, conflict, not_found, unknown_lease };

  struct outcome {
    status what = status::done;
    /// The new version, or on a conflict the current one (0: no such key).
    std::int64_t version = 0;
  };

  /// `history` is how many changes are kept for watches.
  explicit store_state(std::size_t history) : history_limit_(history) {}

  std::optional<entry> get(std::string_view key, time_point now);
  std::vector<entry> list(std::string_view prefix, time_point now);

  /// `expect_version`: 0 means that the key must not exist, nothing allows any version.
  outcome put(const std::string& key, std::string value, std::optional<std::int64_t> expect_version,
              const std::optional<std::string>& lease_id, time_point now);
  outcome remove(const std::string& key, std::optional<std::int64_t> expect_version,
                 time_point now);

  std::string create_lease(duration ttl, time_point now);

  /// Returns the time to live, or nothing when the lease is unknown or expired.
  std::optional<duration> renew_lease(std::string_view id, time_point now);

  /// Deletes a lease with its keys; returns false when it is unknown.
  bool delete_lease(std::string_view id, time_point now);

  /// Deletes the keys of expired leases.
  void expire(time_point now);

  /// When the next lease expires, or nothing without leases.
  [[nodiscard]] std::optional<time_point> next_expiry() const;

  [[nodiscard]] std::int64_t revision() const { return revision_; }

  /// Whether every change after `revision` is still known. False also for a revision that this
  /// store has not reached, which means that the watcher knows another store.
  [[nodiscard]] bool has_history_after(std::int64_t revision) const;

  [[nodiscard]] std::vector<change> changes_after(std::int64_t revision,
                                                  std::string_view prefix) const;

private:
  struct record {
    std::string value;
    std::int64_t version = 0;
    std::string lease;
  };

  struct lease {
    duration ttl;
    time_point end;
    std::set<std::string, std::less<>> keys;
  };

  void remember(change it);
  void detach(const std::string& key, const record& it);
  void erase(const std::string& key);
  void drop_lease(const std::string& id);

  std::size_t history_limit_;
  std::int64_t revision_ = 0;
  // Changes up to and including this revision are forgotten.
  std::int64_t forgotten_ = 0;
  std::int64_t lease_count_ = 0;
  std::map<std::string, record, std::less<>> records_;
  std::map<std::string, lease, std::less<>> leases_;
  std::deque<change> history_;
};

} // namespace boragedoor::standin
