#pragma once

#include "net/http_types.h"

namespace boragedoor::platform {

/// Returns a loopback address of this process alone, with any free port. A stand-in that stops and
/// listens again finds its port free there: other processes, and the client ends of connections,
/// take ports of 127.0.0.1.
net::address own_loopback_address();

} // namespace boragedoor::platform
