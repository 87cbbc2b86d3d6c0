#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_types.h"

namespace boragedoor::net {

/// A request to send.
struct http_call_spec {
  address target;
  std::string method = "GET";
  /// Path with the query, already encoded.
  std::string path = "/";
  headers fields;
  std::string body;
  /// Longest time without a byte from the server, connection set-up included.
  duration progress_timeout = seconds(10);
  /// Longest time for the whole call; zero sets no bound.
  duration total_timeout = duration::zero();
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
};

/// What came back.
struct http_reply {
  int status = 0;
  headers fields;
  /// The body, except for what `on_chunk` was given.
  std::string body;
};

/// Why a call failed, and whether its request can have reached the server.
struct http_failure {
  error cause;
  /// True when no byte of the request was handed to the network. Only then is it certain that
  /// the server did not see it.
  bool nothing_sent = false;
};

struct http_callbacks {
  /// Called once with the status and the header fields, before the first chunk. May be empty.
  std::function<void(const http_reply&)> on_headers;
  /// Called with each piece of the body as it arrives. When empty the body is collected.
  std::function<void(std::string_view)> on_chunk;
  /// Called once at the end: with the reply when the whole body has arrived.
  std::function<void(http_reply)> on_reply;
  /// Called once at the end instead of `on_reply`.
  std::function<void(http_failure)> on_failure;
};

/// A call in progress. Dropping the handle does not cancel the call.
class http_call {
public:
  virtual ~http_call() = default;
  http_call() = default;
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;
  http_call(http_call&&) = delete;
  http_call& operator=(http_call&&) = delete;

  /// Closes the connection; no callback follows.
  virtual void cancel() = 0;
};

/// HTTP client on evhttp. Keeps idle connections for reuse; never repeats a request by itself.
class http_client {
public:
  explicit http_client(event_loop& loop);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  http_client(http_client&&) = delete;
  http_client& operator=(http_client&&) = delete;

  /// Starts a call. Callbacks come from the loop, never before `send` returns.
  std::shared_ptr<http_call> send(http_call_spec spec, http_callbacks callbacks);

  /// Closes the idle connections to a target, for example when a probe on it failed.
  void drop_idle(const address& target);

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace boragedoor::net
