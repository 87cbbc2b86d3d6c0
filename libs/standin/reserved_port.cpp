#include "standin/reserved_port.h"

#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragedoor::standin {

result<std::unique_ptr<reserved_port>> reserved_port::create(const net::address& at) {
  const error failure{error_code::io, "cannot bind " + net::to_string(at) +
                                          "; check that the address is local and the port is free"};
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(at.port);
  if (::inet_pton(AF_INET, at.host.c_str(), &name.sin_addr) != 1) {
    return failure;
  }
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return failure;
  }
  // Without this the server could not bind the same port while this socket holds it.
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t n = sizeof name;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &n) != 0) {
    ::close(fd);
    return failure;
  }
  return std::unique_ptr<reserved_port>(
      new reserved_port(fd, net::address{at.host, ntohs(name.sin_port)}));
}

reserved_port::reserved_port(int fd, net::address at) : fd_(fd), address_(std::move(at)) {}

reserved_port::~reserved_port() {
  ::close(fd_);
}

} // namespace boragedoor::standin
