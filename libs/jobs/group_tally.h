#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "jobs/job.h"

namespace boragedoor::jobs {

/// Counts the unfinished items of each group of a job.
class group_tally {
public:
  explicit group_tally(std::span<const job_item> items);

  /// Records that an item has its result. Must be called at most once per item.
  void mark_finished(std::size_t item);
  [[nodiscard]] bool is_complete(std::size_t item) const {
    return unfinished_[group_of_[item]] == 0;
  }
  [[nodiscard]] std::size_t group_count() const { return unfinished_.size(); }
  [[nodiscard]] std::size_t complete_group_count() const { return complete_; }

private:
  /// Group index of each item.
  std::vector<std::size_t> group_of_;
  std::vector<std::size_t> unfinished_;
  std::size_t complete_ = 0;
};

} // namespace boragedoor::jobs
