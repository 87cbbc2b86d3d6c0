#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "http1/message.h"

namespace boragedoor::instance {

/// Whether a request that failed was executed by an endpoint.
enum class executed { no, unknown };

/// Returns a JSON error response with a stable code, a message and whether the request was
/// executed. `retry_after` sets the Retry-After header.
http1::response error_response(int status, std::string_view code, std::string_view message,
                               executed execution,
                               std::optional<duration> retry_after = std::nullopt);

/// Returns the error response for a message that violates the protocol or a limit of the listener.
http1::response listener_refusal(int status, std::string_view message);

/// Code of responses to requests that this process cannot finish because it stops.
inline constexpr std::string_view stopping_code = "stopping";

/// Refuses a request that was not executed because this process stops. Other instances take it at
/// once, so the caller is told not to wait.
http1::response stopping_refusal();

/// Answers a request that may have been executed and is still open when this process ends.
http1::response stopping_interruption();

} // namespace boragedoor::instance
