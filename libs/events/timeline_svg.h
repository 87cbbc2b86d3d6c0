#pragma once

#include <string>

#include "events/timeline.h"

namespace boragedoor::events {

/// Events that a picture shows at most; more would be hard to read and slow to open.
inline constexpr std::size_t max_svg_events = 2000;

/// Draws a timeline as a self-contained SVG picture: a lane for each instance, a row for each
/// event, an arrow from each cause to its effect. When there are more than `max_svg_events` the
/// last ones are drawn and the caption says so.
std::string to_svg(const timeline& it);

} // namespace boragedoor::events
