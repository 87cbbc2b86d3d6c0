#pragma once

#include <optional>
#include <string>

#include "base/time.h"
#include "net/http_server.h"
#include "retry/retry_policy.h"

namespace boragedoor::daemon {

/// An error answer of the HTTP interface.
struct api_error {
  int status = 500;
  /// Stable text that programs may compare.
  std::string code;
  std::string message;
  /// Whether the request ran. `no` is only said when it is certain.
  retry::executed executed = retry::executed::no;
  /// When to try again, rounded up to whole seconds in `Retry-After`.
  std::optional<duration> retry_after;
};

/// The JSON form: {"error":{"code","message","executed"}}.
json to_json(const api_error& it);

/// Answers with an error.
void respond_error(net::http_exchange& exchange, const api_error& it);

/// Errors that several handlers give.
api_error not_found_error(std::string message);
api_error bad_request_error(std::string message);
api_error unauthorized_error();
api_error unavailable_error(std::string code, std::string message, duration retry_after);

} // namespace boragedoor::daemon
