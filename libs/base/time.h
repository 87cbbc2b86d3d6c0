#pragma once

#include <chrono>

namespace boragedoor {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Resolution of all times that decisions work with.
using duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process. Never compare those of two processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the wall clock, for logs, usage windows and people. May jump.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Reads the monotonic clock. Only the event loop and programs call it: decision code takes the
/// present time as an argument.
time_point monotonic_now();

/// Reads the wall clock; the same rule holds.
wall_time wall_now();

/// Converts to milliseconds since the clock's origin.
template <class Clock>
std::int64_t to_milliseconds(std::chrono::time_point<Clock, duration> at) {
  return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

/// Converts to whole milliseconds.
inline std::int64_t to_milliseconds(duration of) {
  return std::chrono::duration_cast<milliseconds>(of).count();
}

} // namespace boragedoor
