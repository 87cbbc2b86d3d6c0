#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/json.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_types.h"

namespace boragedoor::peer {

/// A connection to another instance: CBOR messages over WebSocket.
class peer_link {
public:
  struct callbacks {
    std::function<void()> on_open;
    /// A message arrived. Messages that are not valid CBOR close the link.
    std::function<void(const json&)> on_message;
    /// Called once; the link may be destroyed in it. `refused` is true when the connection
    /// attempt was refused, which proves that no process listens there.
    std::function<void(bool refused)> on_closed;
  };

  virtual ~peer_link() = default;
  peer_link() = default;
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  peer_link(peer_link&&) = delete;
  peer_link& operator=(peer_link&&) = delete;

  /// Connects to another instance's peer address.
  static std::shared_ptr<peer_link> connect(net::event_loop& loop, const net::address& target);

  /// Must be called once, before the loop runs again.
  virtual void start(callbacks handlers) = 0;

  /// Sends a message; returns false when the link is not open or its output is full.
  virtual bool send(const json& message) = 0;

  /// Closes the link; no callback follows.
  virtual void close() = 0;

  /// Bytes sent and received so far, framing included.
  [[nodiscard]] virtual std::size_t bytes_sent() const = 0;
  [[nodiscard]] virtual std::size_t bytes_received() const = 0;
};

/// Accepts connections from other instances.
class peer_listener {
public:
  using accept_handler = std::function<void(std::shared_ptr<peer_link>)>;

  /// Listens on `at`; port 0 takes any free port. Fails with `io` when the address is in use.
  static result<std::unique_ptr<peer_listener>>
  listen(net::event_loop& loop, const net::address& at, accept_handler on_accept);
  ~peer_listener();
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;
  peer_listener(peer_listener&&) = delete;
  peer_listener& operator=(peer_listener&&) = delete;

  [[nodiscard]] const net::address& local_address() const;

private:
  struct impl;
  explicit peer_listener(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

} // namespace boragedoor::peer
