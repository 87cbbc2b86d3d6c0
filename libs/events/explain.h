#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "events/timeline.h"

namespace boragedoor::events {

/// Tells in a few lines what happened to a request. Empty when the timeline has no event of it.
std::vector<std::string> explain_request(const timeline& all, std::string_view request);

/// Tells in a few lines how a shard changed hands, and warns when a former holder sent an order
/// after its successor had started. Empty when the timeline has no event of the shard.
std::vector<std::string> explain_shard(const timeline& all, std::string_view shard);

/// Formats a time in UTC with milliseconds, for example "2026-12-04T06:18:30.250Z".
std::string format_time(wall_time at);

} // namespace boragedoor::events
