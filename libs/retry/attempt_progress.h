#pragma once

#include <variant>

namespace boragedoor::retry {

/// No byte of the request has left this process.
struct nothing_sent {};
/// Bytes of the request may have left this process.
struct possibly_sent {};
/// At least one response token arrived.
struct streaming {
  int tokens = 0;
};
/// How far an attempt got before it failed.
using attempt_progress = std::variant<nothing_sent, possibly_sent, streaming>;

} // namespace boragedoor::retry
