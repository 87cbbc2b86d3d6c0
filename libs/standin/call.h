#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "net/http_server.h"

namespace boragedoor::standin {

/// How the answer of one call goes wrong.
struct call_behaviour {
  /// Close the connection in place of the answer.
  bool lost = false;
  /// Never send the answer.
  bool silent = false;
  /// Send no more than this many frames of a streamed answer, and never its end.
  std::optional<std::int64_t> frames;
  /// Attempt id that the answer carries.
  std::string attempt;
  /// True once the call's connection has gone silent.
  std::shared_ptr<const bool> connection_silent;
};

/// One call to a stand-in. Its answer passes through the faults that were drawn for the call.
class call : public std::enable_shared_from_this<call> {
public:
  /// `keep` is called with a call whose caller is left waiting; the receiver keeps it until the
  /// caller leaves, because dropping it would close the connection.
  call(std::shared_ptr<net::http_exchange> exchange, call_behaviour behaviour,
       std::function<void(std::shared_ptr<call>)> keep);

  [[nodiscard]] const net::http_request& request() const { return exchange_->request(); }

  /// The attempt id to answer with.
  [[nodiscard]] const std::string& attempt() const { return behaviour_.attempt; }

  /// False once the answer is finished or the caller has left.
  [[nodiscard]] bool is_open() const { return exchange_->is_open(); }

  void answer(int status, const json& body, net::headers fields = {});
  void start_stream(int status, const net::headers& fields);
  void send_frame(std::string_view data);
  void finish_stream();

  /// Keeps all output back until `release`.
  void hold_back() { held_back_ = true; }

  /// Sends what was held back and lets the rest through.
  void release();

  /// Sets what is called, once, when the caller leaves before the answer is finished.
  void on_caller_left(const std::function<void()>& fn) { exchange_->on_caller_left(fn); }

private:
  [[nodiscard]] bool is_silent() const;

  // Runs an output step now, or later when the call is held back.
  void output(std::function<void(call&)> step);
  void end(const std::function<void(net::http_exchange&)>& step);

  std::shared_ptr<net::http_exchange> exchange_;
  call_behaviour behaviour_;
  std::function<void(std::shared_ptr<call>)> keep_;
  std::vector<std::function<void(call&)>> waiting_;
  bool held_back_ = false;
};

/// The body of an answer that refuses a call.
json error_body(std::string_view code, std::string_view message);

/// What follows `prefix` in `path`, or nothing when `path` starts otherwise or ends there.
std::optional<std::string> path_after(std::string_view path, std::string_view prefix);

/// A whole number from 0 in the query, or `otherwise` when it is missing or no such number.
std::int64_t query_integer(const net::http_request& request, std::string_view name,
                           std::int64_t otherwise);

/// A text in the query, or an empty one.
std::string query_text(const net::http_request& request, std::string_view name);

/// Reads a body that must be a JSON object; answers 400 and returns nothing when it is none.
std::optional<json> object_body(call& it);

} // namespace boragedoor::standin
