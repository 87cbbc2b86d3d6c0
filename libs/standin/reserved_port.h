#pragma once

#include <memory>

#include "base/result.h"
#include "net/http_types.h"

namespace boragedoor::standin {

/// Holds a TCP port by a socket that is bound and never listens, so that connections are refused
/// while a stand-in is down and no other process can take the port meanwhile.
class reserved_port {
public:
  /// Port 0 takes any free port. Fails with `io` when the address cannot be bound.
  static result<std::unique_ptr<reserved_port>> create(const net::address& at);
  ~reserved_port();
  reserved_port(const reserved_port&) = delete;
  reserved_port& operator=(const reserved_port&) = delete;
  reserved_port(reserved_port&&) = delete;
  reserved_port& operator=(reserved_port&&) = delete;

  /// The address with the real port.
  [[nodiscard]] const net::address& local_address() const { return address_; }

private:
  reserved_port(int fd, net::address at);

  int fd_;
  net::address address_;
};

} // namespace boragedoor::standin
