#pragma once

#include <event2/util.h>

namespace boragedoor::net {

/// Whether the peer's system has received all that was written to a TCP socket and has not reset
/// the connection. False also if the system cannot tell.
bool is_output_received(evutil_socket_t fd);

/// Sets how a TCP socket ends, also if its process is killed. With `on` its system resets the
/// connection and drops what it has not delivered; otherwise it goes on sending that, for minutes
/// if the peer does not acknowledge it.
void set_reset_on_close(evutil_socket_t fd, bool on);

} // namespace boragedoor::net
