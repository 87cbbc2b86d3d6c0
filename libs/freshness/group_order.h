#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace boragedoor::freshness {

/// A sample that has not started yet, in the order of arrival.
struct waiting_sample {
  std::string_view trainer;
  /// Number of the sample's group, unique within the trainer.
  std::size_t group = 0;
  /// Expected length, in tokens.
  double expected = 0;
  /// Whether other samples of the group have started or ended.
  bool group_started = false;
};

/// What a trainer has on the engines already.
struct trainer_work {
  std::string_view trainer;
  /// Expected tokens of its running samples.
  double running = 0;
};

/// Returns the order in which to start samples, as indexes into `waiting`. Started groups come
/// before new ones, and among each the group with the longest expected sample first. Trainers take
/// turns by the expected work have on the engines, starting from `given`, so that none
/// waits behind another's whole step.
std::vector<std::size_t> group_order(std::span<const waiting_sample> waiting,
                                     std::span<const trainer_work> given);

} // namespace boragedoor::freshness
