#pragma once

// This header is compiled as C++17 and as C++20 and names no type of websocketpp, because that
// library only compiles as C++17.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace boragedoor::peer {

/// What a WebSocket session tells its owner.
struct websocket_callbacks {
  /// Bytes for the other side.
  std::function<void(const char* data, std::size_t n)> on_output;
  /// The handshake is complete.
  std::function<void()> on_open;
  /// A whole binary message has arrived.
  std::function<void(std::string message)> on_message;
  /// The session has ended, by either side or by a protocol error.
  std::function<void()> on_closed;
};

/// The WebSocket protocol (RFC 6455) of one connection, without a socket.
class websocket_session {
public:
  /// The side that connects. `host` is "ip:port" and only goes into the handshake.
  static std::unique_ptr<websocket_session> connect(const std::string& host,
                                                    websocket_callbacks callbacks);

  /// The side that accepts.
  static std::unique_ptr<websocket_session> accept(websocket_callbacks callbacks);

  virtual ~websocket_session() = default;
  websocket_session() = default;
  websocket_session(const websocket_session&) = delete;
  websocket_session& operator=(const websocket_session&) = delete;
  websocket_session(websocket_session&&) = delete;
  websocket_session& operator=(websocket_session&&) = delete;

  /// Takes bytes that arrived on the socket.
  virtual void receive(const char* data, std::size_t n) = 0;

  /// Sends one binary message. Returns false when the session is not open.
  virtual bool send(const std::string& message) = 0;

  /// Starts the closing handshake.
  virtual void close() = 0;

  /// Tells the session that the socket is gone.
  virtual void end_of_input() = 0;
};

} // namespace boragedoor::peer
