#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "jobs/job.h"

namespace boragedoor::jobs {

/// How far a step is, whose trainer waits for a number of complete groups.
enum class step_progress {
  /// A group that the trainer waits for lacks a text.
  generating,
  /// All texts of enough groups are complete, and some lack their score.
  scoring,
  complete,
};

/// Counts the unfinished items of each group of a job.
class group_tally {
public:
  explicit group_tally(std::span<const job_item> items);

  /// Records that the trainer waits for an item's group, whichever other groups are complete.
  void require(std::size_t item) { required_[group_of_[item]] = true; }
  [[nodiscard]] bool is_required(std::size_t item) const { return required_[group_of_[item]]; }
  /// Records that an item has its whole text. Must be called at most once per item.
  void mark_generated(std::size_t item);
  /// Records that an item has its result. Must be called at most once per item.
  void mark_finished(std::size_t item);
  /// Returns the progress of a step whose trainer waits for `desired` groups.
  [[nodiscard]] step_progress progress(std::size_t desired) const;
  [[nodiscard]] bool is_complete(std::size_t item) const {
    return unfinished_[group_of_[item]] == 0;
  }
  [[nodiscard]] std::size_t group_count() const { return unfinished_.size(); }
  [[nodiscard]] std::size_t complete_group_count() const { return complete_; }

private:
  /// Group index of each item.
  std::vector<std::size_t> group_of_;
  std::vector<std::size_t> unfinished_;
  /// Items of each group without a whole text.
  std::vector<std::size_t> ungenerated_;
  std::vector<bool> generated_;
  std::vector<bool> required_;
  std::size_t complete_ = 0;
};

} // namespace boragedoor::jobs
