#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/service_endpoints.h"

namespace boragedoor::dispatch {

/// The software that began a stream, by the attempt that brought its first event.
struct stream_origin {
  std::string attempt;
  /// See `endpoint_entry::software`.
  std::string software;
  /// The process that began the stream, with the key and the revision of its entry in the registry.
  routing::endpoint_process process{};
  std::string key{};
  std::uint64_t revision = 0;
};

/// Remembers which software began each stream of this instance, and which of these records the
/// store does not have yet. A record counts once it is stored: only then is it certain that the
/// stream came from the process that this instance took the endpoint for.
class stream_origins {
public:
  /// Returns false if too many records wait for the store; this one is then not remembered.
  bool add(const stream_origin& origin, time_point now);
  /// Returns the software that began a stream; nothing if no stored record is known here.
  [[nodiscard]] std::optional<std::string> find(std::string_view attempt) const;

  /// Returns up to `max` records that are to be stored, the oldest first.
  [[nodiscard]] std::vector<stream_origin> unstored(std::size_t max) const;
  /// Records that these attempts are in the store.
  void mark_stored(const std::vector<stream_origin>& records);
  /// Sets the revision of the entry of the process that began a stream.
  void set_revision(std::string_view attempt, std::uint64_t revision);
  /// Forgets a stream whose software is not certain.
  void drop(std::string_view attempt);
  /// Forgets streams that were begun so long ago that no caller takes them up.
  void expire(time_point now);
  [[nodiscard]] std::size_t size() const { return streams_.size(); }

private:
  struct known_stream {
    std::string software;
    bool stored = false;
  };

  std::map<std::string, known_stream, std::less<>> streams_;
  /// Attempts with the time of their record, the oldest first.
  std::deque<std::pair<time_point, std::string>> by_age_;
  std::deque<stream_origin> unstored_;
};

} // namespace boragedoor::dispatch
