#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace boragedoor::http1 {

enum class message_kind { request, response };

/// The start line and the header fields of a message.
struct message_head {
  std::string method;
  std::string target;
  int status = 0;
  net::headers headers;
  bool keep_alive = false;
  bool has_length = false;
};

/// What a parser reports, in the order of the message.
struct parser_events {
  /// False refuses the message: `feed` then fails.
  std::function<bool(const message_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_complete;
};

/// Incremental parser of one direction of a connection, on the http_parser library. It stops after
/// each complete message, so that bytes of the next one stay with the caller.
class parser {
public:
  parser(message_kind kind, parser_events events);
  ~parser();
  parser(const parser&) = delete;
  parser& operator=(const parser&) = delete;
  parser(parser&&) = delete;
  parser& operator=(parser&&) = delete;

  /// Parses a piece of input and returns how much of it was used: less than all after a complete
  /// message. After an error `failed` is true.
  std::size_t feed(std::string_view data);
  /// Takes an orderly end of the connection, which completes a response without a length.
  void finish();
  /// The response that follows belongs to a HEAD request and has no body.
  void expect_no_body();

  [[nodiscard]] bool failed() const;
  [[nodiscard]] std::string error_text() const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace boragedoor::http1
