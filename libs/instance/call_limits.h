#pragma once

#include "base/time.h"

namespace boragedoor::instance {

/// Timeout for connecting to an endpoint, to another instance or, for a relayed call, to the store.
/// The latency between data centres is a few milliseconds, and a lost SYN packet is only
/// retransmitted after a second, so trying another target is faster.
inline constexpr duration connect_timeout = milliseconds(300);

} // namespace boragedoor::instance
