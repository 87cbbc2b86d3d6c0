#pragma once

#include <string_view>

#include "base/time.h"
#include "net/http_types.h"

namespace boragedoor::instance {

/// Header of a request that another instance sends on: the longest time without a byte of the
/// response for which the sender waits, in milliseconds. A cut link hides that the sender has given
/// the request up.
inline constexpr std::string_view timeout_header = "Boragedoor-Timeout";

/// Longest time without a byte of the response that a sender can ask for.
inline constexpr duration max_stated_timeout = seconds(30);

/// Adds the header to a request.
void state_timeout(net::headers& list, duration timeout);

/// Returns how long the request may be without a byte of its response once it was sent on: half a
/// second longer than stated, so that the sender notices first. `unstated` if the header is
/// missing, as in requests of instances of earlier versions.
duration stated_timeout(const net::headers& list, duration unstated);

} // namespace boragedoor::instance
