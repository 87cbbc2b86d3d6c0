#pragma once

#include <variant>

namespace boragedoor::retry {

/// How far an attempt got before it failed.
struct nothing_sent {};
/// Bytes of the request may have left this process.
struct sent {};
/// Response tokens arrived.
struct streaming {
  int tokens = 0;
};
using attempt_progress = std::variant<nothing_sent, sent, streaming>;

} // namespace boragedoor::retry
