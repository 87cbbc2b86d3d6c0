#pragma once

#include "base/time.h"

namespace boragedoor::instance {

/// Longest time to connect to an endpoint, to another instance or, for a relayed call, to the
/// store. Data centres are a few milliseconds apart, and a lost first packet is sent again only
/// after a second, so it is better to turn elsewhere.
inline constexpr duration connect_timeout = milliseconds(300);

} // namespace boragedoor::instance
