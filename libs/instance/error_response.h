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

} // namespace boragedoor::instance
