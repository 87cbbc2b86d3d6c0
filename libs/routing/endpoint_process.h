#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace boragedoor::routing {

/// A process of an endpoint. An endpoint may start again under its id.
struct endpoint_process {
  std::string endpoint;
  /// Start time of the process in Unix milliseconds.
  std::int64_t start_ms = 0;

  friend auto operator<=>(const endpoint_process&, const endpoint_process&) = default;
};

} // namespace boragedoor::routing
