#include "net/output_state.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace boragedoor::net {

bool is_output_received(evutil_socket_t fd) {
  int unacknowledged_bytes = 0;
  int error = 0;
  socklen_t size = sizeof error;
  return ::ioctl(fd, SIOCOUTQ, &unacknowledged_bytes) == 0 && unacknowledged_bytes == 0 &&
         ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

void set_reset_on_close(evutil_socket_t fd, bool on) {
  const linger how{.l_onoff = on ? 1 : 0, .l_linger = 0};
  // A socket that is closed already has ended.
  (void)::setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof how);
}

} // namespace boragedoor::net
