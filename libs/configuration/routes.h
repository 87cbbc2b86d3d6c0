#pragma once

#include <optional>
#include <string_view>

#include "configuration/configuration.h"

namespace boragedoor::config {

/// Finds the route of a service call. `path` is the decoded path after the service name and starts
/// with "/". The longest prefix wins, and at equal length a named method wins over "*". Returns
/// nothing for unknown services and for paths with empty, "." or ".." segments, which an endpoint
/// could resolve to a path of another route.
std::optional<service_route> find_route(const configuration& current, std::string_view service,
                                        std::string_view method, std::string_view path);

} // namespace boragedoor::config
