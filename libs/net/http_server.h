#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_types.h"

namespace boragedoor::net {

/// One request and its reply. Handlers keep the shared pointer until the reply is finished.
class http_exchange {
public:
  struct impl;
  explicit http_exchange(std::unique_ptr<impl> state);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;
  http_exchange(http_exchange&&) = delete;
  http_exchange& operator=(http_exchange&&) = delete;

  [[nodiscard]] const http_request& request() const;

  /// True while the caller is connected and the reply is not finished.
  [[nodiscard]] bool is_open() const;

  /// Sends a whole reply and ends the exchange. Does nothing when the caller has left.
  void respond(int status, const headers& fields, std::string_view body);

  /// Sends a whole JSON reply.
  void respond_json(int status, const json& value, headers fields = {});

  /// Starts a chunked reply.
  void start_stream(int status, const headers& fields);

  /// Sends one chunk of a started reply; empty data is ignored.
  void send_chunk(std::string_view data);

  /// Ends a started reply.
  void finish_stream();

  /// Breaks the connection, so that the caller sees that a started reply is not whole.
  void abort();

  /// Sets what is called, once, when the caller leaves before the reply is finished.
  void on_caller_left(std::function<void()> fn);

  /// Bytes that wait in the socket's output buffer.
  [[nodiscard]] std::size_t pending_bytes() const;

private:
  std::unique_ptr<impl> impl_;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// HTTP server on evhttp. Detects a caller that leaves before the first byte of the reply by
/// looking at the socket, because evhttp does not read from a connection that is being answered.
class http_server {
public:
  /// Listens on `at`; port 0 takes any free port. Fails with `io` when the address is in use.
  static result<std::unique_ptr<http_server>>
  listen(event_loop& loop, const address& at, const http_limits& limits, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(http_server&&) = delete;

  /// The address in use, with the real port.
  [[nodiscard]] const address& local_address() const;

  /// Exchanges whose reply is not finished.
  [[nodiscard]] std::size_t open_exchanges() const;

  /// Closes the listening socket; open exchanges go on.
  void stop_listening();

private:
  struct impl;
  explicit http_server(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

} // namespace boragedoor::net
