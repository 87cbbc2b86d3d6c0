#include "instance/error_response.h"

#include <fmt/format.h>

#include "base/json.h"

namespace boragedoor::instance {

namespace {

/// Retry-After time when there is no memory for a request. Bodies arrive within a second or are
/// ended, and other instances may take the request at once.
constexpr duration out_of_memory_retry_after = milliseconds(500);

} // namespace

http1::response error_response(int status, std::string_view code, std::string_view message,
                               executed execution, std::optional<duration> retry_after) {
  http1::response it;
  it.status = status;
  it.headers.emplace_back("Content-Type", "application/json");
  if (retry_after) {
    const double value = std::chrono::duration<double>(*retry_after).count();
    it.headers.emplace_back("Retry-After", fmt::format("{:.3f}", value));
  }
  it.body = to_text({{"error",
                      {{"code", code},
                       {"message", message},
                       {"executed", execution == executed::no ? "no" : "unknown"}}}});
  return it;
}

http1::response stopping_refusal() {
  constexpr int unavailable = 503;
  return error_response(unavailable, stopping_code, "this instance stops", executed::no,
                        duration::zero());
}

http1::response stopping_interruption() {
  constexpr int timeout = 504;
  return error_response(timeout, stopping_code, "this instance ended before the response",
                        executed::unknown);
}

http1::response listener_refusal(int status, std::string_view message) {
  constexpr int timeout = 408;
  constexpr int body_too_large = 413;
  constexpr int headers_too_large = 431;
  constexpr int unavailable = 503;
  std::string_view code = "invalid_request";
  if (status == timeout) {
    code = "timeout";
  } else if (status == body_too_large || status == headers_too_large) {
    code = "too_large";
  } else if (status == unavailable) {
    return error_response(status, "unavailable", message, executed::no, out_of_memory_retry_after);
  }
  return error_response(status, code, message, executed::no);
}

} // namespace boragedoor::instance
