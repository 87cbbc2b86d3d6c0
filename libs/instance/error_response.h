#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "http1/message.h"

namespace boragedoor::instance {

/// Whether a request that is answered with an error ran at an endpoint.
enum class executed { no, unknown };

/// An error response in JSON: a stable code, a message and whether the request ran. With
/// `retry_after` the caller is told when to come back.
http1::response error_response(int status, std::string_view code, std::string_view message,
                               executed ran, std::optional<duration> retry_after = std::nullopt);

/// The error for a message that breaks the protocol or a limit of the listener.
http1::response listener_refusal(int status, std::string_view message);

} // namespace boragedoor::instance
