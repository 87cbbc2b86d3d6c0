#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <event2/util.h>

#include "http1/byte_budget.h"
#include "http1/exchange.h"
#include "http1/message.h"
#include "http1/parser.h"
#include "net/event_loop.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace boragedoor::http1 {

/// What callers may send. The figures come from the configuration in force.
struct server_limits {
  std::size_t header_bytes = 16UL * 1024;
  std::size_t body_bytes = 1024UL * 1024;
  /// From the first byte of a request to the end of its header fields.
  duration header_timeout = seconds(5);
  /// Between two requests, and between two pieces of a body.
  duration idle_timeout = seconds(30);
};

/// What all connections of a server share. A connection may outlive its server until the event loop
/// has run its last callbacks.
struct server_shared {
  std::function<void(std::shared_ptr<exchange>)> handler;
  std::function<void(server_connection&)> on_closed;
  /// Makes the response to a message that breaks the protocol or a limit.
  std::function<response(int status, std::string_view message)> refuse;
  server_limits limits;
  std::shared_ptr<byte_budget> budget;
  /// Responses announce the end of their connection.
  bool draining = false;
};

/// One connection of a caller. Requests are answered one after the other.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
  server_connection(net::event_loop& loop, std::shared_ptr<server_shared> shared,
                    evutil_socket_t fd, std::string peer);
  ~server_connection();
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;
  server_connection(server_connection&&) = delete;
  server_connection& operator=(server_connection&&) = delete;

  void send_whole(response it);
  void send_start(const response& it);
  void send_chunk(std::string_view data);
  void send_end();
  /// Closes the connection behind what was sent, without the end of the response.
  void break_off();
  void close();
  /// Closes the connection if no request is in progress and nothing is left to send.
  void close_if_idle();
  /// Whether a request is being received or answered, or its response is not sent yet.
  [[nodiscard]] bool is_busy() const;
  /// Whether nothing of a request has arrived and nothing is left to send.
  [[nodiscard]] bool is_idle() const;
  /// When the last response ended, or else when the connection was accepted.
  [[nodiscard]] time_point idle_since() const { return idle_since_; }
  [[nodiscard]] const std::string& peer() const { return peer_; }
  /// Whether part of a response is not sent yet.
  [[nodiscard]] bool has_output() const;
  [[nodiscard]] std::shared_ptr<exchange> open_exchange() const { return exchange_.lock(); }

private:
  enum class phase { head, body, answering, closing };

  static void on_read(bufferevent* bev, void* self);
  static void on_write(bufferevent* bev, void* self);
  static void on_event(bufferevent* bev, short what, void* self);
  static void on_output(evbuffer* output, const evbuffer_cb_info* info, void* self);

  std::unique_ptr<byte_account> make_input_account();
  void read_input();
  bool read_head();
  bool read_body();
  bool take_head(const message_head& head);
  void dispatch();
  void refuse(int status, std::string_view message);
  void write_head(const response& it, bool chunked);
  void end_response();
  /// Closes the connection once its output is sent. If the caller is still sending a request that
  /// was refused, reads on for a while, because a close with unread input resets the connection and
  /// the caller may lose the response.
  void close_after_output();
  void handle_end();
  void on_timeout();

  net::event_loop& loop_;
  std::shared_ptr<server_shared> shared_;
  bufferevent* bev_;
  std::string peer_;
  parser parser_;
  net::timer timer_;
  time_point idle_since_;
  phase phase_ = phase::head;
  bool head_started_ = false;
  request request_;
  /// Bytes that the head of `request_` takes.
  std::size_t head_bytes_ = 0;
  bool keep_alive_ = true;
  bool message_done_ = false;
  /// Whether a request was refused before all of it had arrived.
  bool is_refused_ = false;
  int refusal_ = 0;
  std::string_view refusal_text_;
  bool chunked_ = false;
  std::weak_ptr<exchange> exchange_;
  std::unique_ptr<byte_account> input_account_;
  byte_account output_account_;
};

} // namespace boragedoor::http1
