#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "net/http_types.h"

namespace boragedoor::http1 {

/// A request; `target` is the path with the query, as it stands on the request line.
struct request {
  std::string method = "GET";
  std::string target = "/";
  net::headers headers;
  std::string body;
  /// Sent in the place of `body`, without a copy for each message that carries it.
  std::shared_ptr<const std::string> shared_body{};
};

struct response {
  int status = 0;
  net::headers headers;
  std::string body;
};

/// The path of a request target, without its query.
std::string_view path_of(std::string_view target);

/// A percent-decoded query parameter; nothing when it is missing.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

/// A query parameter that is a number; 0 when it is missing or none.
std::uint64_t number_parameter(std::string_view target, std::string_view name);

/// Whether a comma-separated header value holds a token, without regard to case.
bool has_token(std::string_view value, std::string_view token);

/// Compares header names, hosts and tokens without regard to case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// Whether a header concerns one connection only and is never forwarded (RFC 9110, 7.6.1).
bool is_hop_by_hop(std::string_view name);

/// Whether a name consists of token characters and a value of visible text, spaces and tabs. Other
/// bytes could be read in another way by the next receiver.
bool is_valid_header(std::string_view name, std::string_view value);

/// Whether a text can be a request target: visible ASCII characters only. A receiver may take any
/// white space for the end of the target (RFC 9112, 3).
bool is_valid_target(std::string_view target);

/// Whether a field value arrives as it is: valid, not empty and without white space around it,
/// which receivers remove.
bool is_exact_field_value(std::string_view value);

/// Whether a request, once written, is read as this one request with these fields.
bool is_writable(const request& it);

/// The reason phrase of a status; "Unknown" for one without a registered phrase.
std::string_view reason_phrase(int status);

/// A header value as a whole number; nothing when it is missing or not a number.
std::optional<std::int64_t> integer_header(const net::headers& list, std::string_view name);

} // namespace boragedoor::http1
