#include "base/result.h"

namespace boragedoor {

std::string_view to_string(error_code code) {
  switch (code) {
  case error_code::invalid_argument:
    return "invalid_argument";
  case error_code::not_found:
    return "not_found";
  case error_code::conflict:
    return "conflict";
  case error_code::unauthorized:
    return "unauthorized";
  case error_code::unavailable:
    return "unavailable";
  case error_code::timeout:
    return "timeout";
  case error_code::overloaded:
    return "overloaded";
  case error_code::stale_token:
    return "stale_token";
  case error_code::outcome_unknown:
    return "outcome_unknown";
  case error_code::protocol:
    return "protocol";
  case error_code::cancelled:
    return "cancelled";
  case error_code::io:
    return "io";
  }
  return "unknown";
}

} // namespace boragedoor
