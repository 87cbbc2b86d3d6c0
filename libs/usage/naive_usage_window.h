#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "usage/usage_documents.h"

namespace boragedoor::usage {

/// The baseline: adds every flush to the window it names and reports whatever the sum is at the
/// moment, again after each lost answer. Nothing is frozen, repeats count again, and a new holder
/// starts from nothing.
class naive_usage_window {
public:
  static naive_usage_window create(std::uint32_t shard);

  void flush(time_point now, const usage_flush& it);
  /// The body of a report of the window.
  [[nodiscard]] std::string report(time_point now, std::uint64_t window) const;

private:
  explicit naive_usage_window(std::uint32_t shard) : shard_(shard) {}

  std::uint32_t shard_;
  std::map<std::uint64_t, usage_table> windows_;
};

} // namespace boragedoor::usage
