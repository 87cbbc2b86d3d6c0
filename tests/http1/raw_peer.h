#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/http_types.h"

struct bufferevent;
struct evconnlistener;

namespace boragedoor::http1 {

/// One end of a TCP connection that sends any bytes, for peers that break the protocol.
class raw_connection {
public:
  explicit raw_connection(bufferevent* bev);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;
  raw_connection(raw_connection&&) = delete;
  raw_connection& operator=(raw_connection&&) = delete;

  void send(std::string_view bytes);
  /// Bytes that were not sent yet.
  [[nodiscard]] std::size_t unsent() const;
  /// Bytes that have arrived at the system and were not read.
  [[nodiscard]] std::size_t unread() const;
  /// Stops or continues reading, so that the peer's output fills its buffers.
  void set_reading(bool on);
  /// Closes after what was sent has left, in order or with a reset.
  void close();
  void reset();

  std::string received;
  bool closed_by_peer = false;
  /// Whether the peer ended the connection with a reset.
  bool reset_by_peer = false;
  /// For handlers that answer before a whole request has arrived.
  bool is_answered = false;
  std::function<void(raw_connection&)> on_data;

private:
  void write_now();

  bufferevent* bev_;
};

/// Connects to a server; the connection is usable at once.
std::unique_ptr<raw_connection> connect_raw(net::event_loop& loop, const net::address& to);

/// Listens and calls `on_data` whenever bytes arrive on any connection.
class raw_server {
public:
  raw_server(net::event_loop& loop, std::function<void(raw_connection&)> on_data);
  ~raw_server();
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  raw_server(raw_server&&) = delete;
  raw_server& operator=(raw_server&&) = delete;

  [[nodiscard]] const net::address& address() const { return local_; }
  std::vector<std::unique_ptr<raw_connection>> connections;

private:
  net::event_loop& loop_;
  std::function<void(raw_connection&)> on_data_;
  evconnlistener* listener_;
  net::address local_;
};

} // namespace boragedoor::http1
