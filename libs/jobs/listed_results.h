#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "jobs/job.h"

namespace boragedoor::jobs {

/// In-memory copy of the newest results of a job that are already in the store. The instance that
/// runs the job serves reads from this copy, which saves calls to the store.
class listed_results {
public:
  /// Results before position `first` are only in the store. Of the later ones, the newest are kept,
  /// up to about `max_kept_bytes` of text.
  listed_results(std::size_t first, std::size_t max_kept_bytes)
      : first_(first), max_kept_bytes_(max_kept_bytes) {}

  void append(std::vector<item_result> results);
  /// The position after the last result.
  [[nodiscard]] std::size_t end() const { return first_ + results_.size(); }
  /// Returns results from position `after` on, up to `max_bytes` of text, but at least one result
  /// if any exists. Returns nullopt if the result at `after` is no longer kept.
  [[nodiscard]] std::optional<std::vector<item_result>> read(std::size_t after,
                                                             std::size_t max_bytes) const;
  /// Returns the result of an item; nullptr if it is not kept.
  [[nodiscard]] const item_result* find(std::string_view item) const;

private:
  std::size_t first_;
  std::size_t max_kept_bytes_;
  std::size_t bytes_ = 0;
  std::deque<item_result> results_;
};

} // namespace boragedoor::jobs
