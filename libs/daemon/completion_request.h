#pragma once

#include <string_view>
#include <variant>

#include "configuration/configuration.h"
#include "daemon/api_error.h"
#include "daemon/completion_task.h"

namespace boragedoor::daemon {

/// What the body of `POST /v1/completions` asks for.
struct completion_request {
  completion_spec spec;
  bool stream = false;
};

/// Reads and checks the body for a workspace. The request id, the key id and the deadline's
/// starting point come from the caller.
std::variant<completion_request, api_error>
parse_completion_request(std::string_view body, const config::configuration& configuration,
                         std::string_view workspace, time_point now);

} // namespace boragedoor::daemon
