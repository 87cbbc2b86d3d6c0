#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace boragedoor::dispatch {

/// The software that began a stream, by the attempt that brought its first event.
struct stream_origin {
  std::string attempt;
  /// See `endpoint_entry::software`.
  std::string software;
};

/// Remembers which software began each stream of this instance, and which of these records the
/// store does not have yet.
class stream_origins {
public:
  /// Returns false if too many records wait for the store; this one is then known only here.
  bool add(const stream_origin& origin, time_point now);
  /// Returns the software that began a stream; nothing if the stream is unknown here.
  [[nodiscard]] std::optional<std::string> find(std::string_view attempt) const;

  /// Returns up to `max` records that are to be stored, the oldest first.
  [[nodiscard]] std::vector<stream_origin> unstored(std::size_t max) const;
  /// Records that the first `count` of them are in the store.
  void mark_stored(std::size_t count);
  /// Forgets streams that were begun so long ago that no caller takes them up.
  void expire(time_point now);
  [[nodiscard]] std::size_t size() const { return software_.size(); }

private:
  std::map<std::string, std::string, std::less<>> software_;
  /// Attempts with the time of their record, the oldest first.
  std::deque<std::pair<time_point, std::string>> by_age_;
  std::deque<stream_origin> unstored_;
};

} // namespace boragedoor::dispatch
