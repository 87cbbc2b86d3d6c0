#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "events/event.h"
#include "events/event_reader.h"

namespace boragedoor::events {

/// An event at its place in the merged order.
struct timeline_entry {
  event what;
  /// Time on the estimated common clock.
  wall_time at;
  /// Position of the cause in the timeline, when it is there.
  std::optional<std::size_t> cause;
};

/// One process that recorded events.
struct timeline_process {
  std::string instance;
  std::string boot;
  /// What is added to its clock.
  duration offset{0};
  bool is_linked = false;
  /// Sequence numbers between the first and the last event for which there is no event.
  std::uint64_t missing = 0;
};

/// Events of several processes in one order, and what is known to be incomplete.
struct timeline {
  std::vector<timeline_entry> entries;
  std::vector<timeline_process> processes;
  /// Copies of an event that were left out because another source had it too.
  std::uint64_t copies = 0;
  /// Events left out because another event has the same id and other content.
  std::uint64_t conflicting = 0;
  /// Events whose cause is in no source.
  std::uint64_t unknown_causes = 0;
  /// Cause links that contradict the order of the other events.
  std::uint64_t contradicting_causes = 0;
};

/// Merges events. The order respects each process's own sequence and every cause link; clocks
/// only decide between events that neither of the two orders, after their offsets have been
/// estimated from the cause links.
timeline merge_events(std::vector<event> events);

/// What to keep of a timeline. Empty texts and missing times keep everything.
struct event_filter {
  std::string request;
  std::string endpoint;
  std::string workspace;
  std::string shard;
  std::optional<wall_time> since;
  std::optional<wall_time> until;
};

/// Keeps the entries that fit all parts of the filter. Positions of causes follow.
timeline apply_filter(const timeline& all, const event_filter& filter);

/// JSON form: {"events", "processes", "copies", ...}.
json to_json(const timeline& it);

} // namespace boragedoor::events
