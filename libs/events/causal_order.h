#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"

namespace boragedoor::events {

/// An order of events, given by their indices.
struct causal_sequence {
  std::vector<std::size_t> sequence;
  /// Cause links that had to be ignored because they contradict the others.
  std::uint64_t ignored_causes = 0;
};

/// Orders events so that each comes after its cause and after the events before it of its own
/// process; among those that may come next the earliest time goes first. Events are sorted by
/// process and sequence, and the three spans have an entry for each of them. Processes are numbered
/// from 0 in the order of their events.
causal_sequence causal_order(std::span<const std::size_t> process_of,
                             std::span<const std::optional<std::size_t>> causes,
                             std::span<const duration> at);

} // namespace boragedoor::events
