#pragma once

#include <event2/util.h>

namespace boragedoor::net {

/// Whether the peer's system has received all that was written to a TCP socket and has not reset
/// the connection. False also if the system cannot tell.
bool is_output_received(evutil_socket_t fd);

} // namespace boragedoor::net
