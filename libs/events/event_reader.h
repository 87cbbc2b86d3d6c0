#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "events/event.h"

namespace boragedoor::events {

/// Events from one or more sources, and what could not be read.
struct event_batch {
  std::vector<event> events;
  /// Lines that hold no event. All are counted.
  std::uint64_t malformed_lines = 0;
  /// The first malformed lines of each source with their numbers.
  findings problems;
  /// Events that a daemon had dropped from its memory before it was asked.
  std::uint64_t evicted = 0;
};

/// Adds the events of a JSON-lines text. Empty lines are skipped.
void read_events(std::string_view text, std::string_view source, event_batch& into);

/// Adds the events of a daemon's reply to `GET /admin/events`. Fails when it has another form.
result<void> read_reply(const json& reply, std::string_view source, event_batch& into);

} // namespace boragedoor::events
