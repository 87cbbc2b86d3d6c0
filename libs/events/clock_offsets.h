#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/time.h"

namespace boragedoor::events {

/// A cause on one process that led to an effect on another, each at its own process's clock.
struct cause_pair {
  std::size_t from = 0;
  std::size_t to = 0;
  duration cause_at{0};
  duration effect_at{0};
};

/// What is added to a process's clock to compare it with the others.
struct clock_offset {
  duration offset{0};
  /// False when no chain of cause pairs leads to another process. The clock is then taken as it is.
  bool is_linked = false;
};

/// Estimates the clock offset of each process. `weights` has an entry for each process; in each
/// group of linked processes the one with the greatest weight is the reference.
///
/// A cause is never later than its effect, so each pair bounds the offset between two processes
/// on one side. Pairs in both directions bound it on both sides, and the middle is taken; with
/// pairs in one direction the fastest message is taken to have needed no time.
std::vector<clock_offset> estimate_offsets(std::span<const std::size_t> weights,
                                           std::span<const cause_pair> pairs);

} // namespace boragedoor::events
