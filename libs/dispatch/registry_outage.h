#pragma once

#include <optional>

#include "base/time.h"

namespace boragedoor::dispatch {

struct registry_outage_options {
  /// Shortest outage of the store in which entries of running endpoints expire. An entry expires
  /// after three heartbeats of silence, the first of which may be missing when the outage begins.
  duration min_outage = milliseconds(2400);
  /// Running endpoints restore their entries within this time after the store is back.
  duration restore_time = seconds(2);
  /// Removals this long after the return may be of entries that expired in the outage.
  duration recovery_time = seconds(3);
};

/// Decides which removals of registry entries take effect at once. After an outage of the store the
/// entries of running endpoints may be gone and come back; in all other cases a removed entry means
/// that its endpoint leaves.
///
/// A watch that ends does not show an outage: its connection alone may be lost. All calls of the
/// instance to the store count, over any path.
class registry_outage {
public:
  explicit registry_outage(const registry_outage_options& options = {}) : options_(options) {}

  /// Records that the store answered a call.
  void note_answer(time_point now);
  /// Returns until when a removal that is seen now is held back; nothing if it takes effect at
  /// once.
  [[nodiscard]] std::optional<time_point> hold_until(time_point now) const;

private:
  registry_outage_options options_;
  std::optional<time_point> last_answer_;
  /// When the store last answered again after an outage.
  std::optional<time_point> returned_at_;
};

} // namespace boragedoor::dispatch
