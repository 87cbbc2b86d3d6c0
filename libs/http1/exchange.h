#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/release_memory.h"
#include "http1/byte_budget.h"
#include "http1/message.h"

namespace boragedoor::http1 {

class server_connection;

/// One request of a caller and its response. Handlers keep the shared pointer until the response is
/// finished; dropping it unfinished breaks the connection.
class exchange {
public:
  /// `account` counts the bytes of the request's body.
  exchange(std::weak_ptr<server_connection> connection, request received, std::string peer,
           std::unique_ptr<byte_account> account);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;
  exchange(exchange&&) = delete;
  exchange& operator=(exchange&&) = delete;

  [[nodiscard]] const request& received() const { return received_; }
  /// Frees the request's body once it is no longer needed.
  void drop_body() {
    release_memory(received_.body);
    account_->set(0);
  }
  /// Lets the request's body be sent on without a copy: it becomes `received().shared_body`.
  void share_body();
  /// Address of the caller, for logs.
  [[nodiscard]] const std::string& peer() const { return peer_; }

  /// True while the caller is connected and the response is not finished.
  [[nodiscard]] bool is_open() const;
  /// Whether a chunked response was started.
  [[nodiscard]] bool has_started() const { return started_; }

  /// Sends a whole response. Does nothing when the caller has left.
  void respond(response it);
  /// Starts a chunked response; `it.body` is its first chunk, if not empty.
  void start(const response& it);
  void send_chunk(std::string_view data);
  void finish();
  /// Ends a started response that is not complete: the caller gets what was sent, and the
  /// connection breaks behind it.
  void break_off();
  /// Breaks the connection at once, so that the caller sees that a started response is not
  /// complete. What was not written yet is dropped.
  void abort();

  /// Sets what is called, once, when the caller leaves before the response is finished.
  void on_left(std::function<void()> fn) { left_ = std::move(fn); }

private:
  friend class server_connection;
  void caller_left();

  std::weak_ptr<server_connection> connection_;
  request received_;
  std::string peer_;
  std::unique_ptr<byte_account> account_;
  std::function<void()> left_;
  bool started_ = false;
  bool done_ = false;
};

} // namespace boragedoor::http1
