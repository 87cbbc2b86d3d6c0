#pragma once

#include <string_view>

namespace boragedoor::dispatch {

/// Whether an endpoint takes connections; `unknown` if the instance cannot find out.
enum class connection_check { connected, unconnected, unknown };

constexpr std::string_view to_string(connection_check it) {
  switch (it) {
  case connection_check::connected:
    return "connected";
  case connection_check::unconnected:
    return "unconnected";
  case connection_check::unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace boragedoor::dispatch
