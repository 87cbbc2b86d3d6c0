#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "usage/usage_documents.h"

namespace boragedoor::usage {

/// The usage that one instance has seen, until the holders of the shards have it for certain.
/// Counters of a window are kept until the instance is told that the window is frozen.
class usage_counter {
public:
  static usage_counter create(usage_source source, duration window_length);

  /// Counts finished work at wall time `wall`. Usage of a window that is known to be frozen goes
  /// to the next one that is not, marked late.
  void record(time_point now, wall_time wall, const usage_key& key, const usage_figures& it);

  /// The flushes to send, at most one for each shard that has unconfirmed changes. Call it every
  /// second.
  std::vector<usage_flush> flush(time_point now);

  void merged(time_point now, const usage_flush_merged& it);

  /// Moves what the frozen figures do not contain to the next open window. Returns the figures
  /// moved, for the event log.
  usage_table frozen(time_point now, const usage_window_frozen& it);

  /// A shard has a new holder: everything is sent again.
  void holder_changed(time_point now, std::uint32_t shard);

  /// Whether some usage is not confirmed by a holder; an instance that stops waits for this.
  [[nodiscard]] bool unconfirmed() const;
  /// Windows kept, over all shards.
  [[nodiscard]] std::size_t windows_kept() const;

private:
  struct window_state {
    usage_table table;
    /// The first flush that carried the newest change.
    std::uint64_t sent = 0;
    bool changed = true;
    bool confirmed = false;
    time_point ask_again{};
  };
  struct shard_state {
    std::map<std::uint64_t, window_state> windows;
    /// Frozen windows from `frozen_below` on; all below it are frozen.
    std::set<std::uint64_t> frozen;
    std::uint64_t frozen_below = 0;
    std::uint64_t sequence = 0;
    std::uint64_t holder_token = 0;
  };

  usage_counter(usage_source source, duration window_length);
  static bool is_frozen(const shard_state& shard, std::uint64_t window);
  static void add_row(shard_state& shard, std::uint64_t window, usage_key key,
                      const usage_figures& it);
  static void mark_frozen(shard_state& shard, std::uint64_t window);

  usage_source source_;
  duration window_length_;
  std::vector<shard_state> shards_;
};

} // namespace boragedoor::usage
