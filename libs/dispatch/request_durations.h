#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace boragedoor::dispatch {

/// Remembers how long the last requests of each route took.
class request_durations {
public:
  /// Number of requests of a route that are remembered.
  static constexpr std::size_t max_samples = 32;

  void record(std::string_view route, duration took);
  /// Returns the longest of the last `max_samples` durations; nothing if there were none.
  [[nodiscard]] std::optional<duration> longest(std::string_view route) const;

private:
  struct samples {
    std::array<duration, max_samples> last{};
    std::size_t count = 0;
  };

  std::map<std::string, samples, std::less<>> routes_;
};

} // namespace boragedoor::dispatch
