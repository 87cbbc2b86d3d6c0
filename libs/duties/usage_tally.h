#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::duties {

/// Number of requests that started to run, by workspace.
using usage_counts = std::map<std::string, std::uint64_t, std::less<>>;

std::string to_document(const usage_counts& counts);
result<usage_counts> usage_counts_from_document(std::string_view document);

void add(usage_counts& to, const usage_counts& from);

/// Index of the window that contains a time. Window 0 starts at the Unix epoch.
std::uint64_t window_of(wall_time at, duration length);
wall_time end_of_window(std::uint64_t window, duration length);

/// Counts requests of this process by window, until the counts have been written to the store.
class usage_tally {
public:
  explicit usage_tally(duration window_length) : length_(window_length) {}

  void count(std::string_view workspace, wall_time at);

  /// Windows that have ended and have counts, oldest first. They are kept until `erase_window`.
  [[nodiscard]] std::vector<std::uint64_t> ended_windows(wall_time now) const;
  /// Counts of a window; empty if there are none.
  [[nodiscard]] usage_counts counts(std::uint64_t window) const;
  void erase_window(std::uint64_t window) { windows_.erase(window); }
  [[nodiscard]] duration window_length() const { return length_; }

private:
  duration length_;
  std::map<std::uint64_t, usage_counts> windows_;
};

} // namespace boragedoor::duties
