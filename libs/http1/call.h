#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "http1/message.h"

namespace boragedoor::http1 {

/// Interim responses, and responses that the owner skips, before the call ends as malformed.
inline constexpr int max_skipped_responses = 16;

/// Bytes of a call's responses that are not of a body, before the call ends as malformed: heads,
/// interim responses, sizes and extensions of chunks, trailers. Each byte of a body adds some,
/// because chunks may be small.
inline constexpr std::size_t max_head_bytes = 64UL * 1024;
inline constexpr std::size_t max_overhead_per_body_byte = 8;

/// Longest time of a call whose body is collected, in progress timeouts after the connection is
/// made. It ends a server that sends a byte now and then. A call with `on_data` has no such limit:
/// its owner judges the progress by what the bytes mean.
inline constexpr int max_progress_timeouts = 4;

/// How a call ended.
enum class call_outcome {
  /// The whole response arrived; without a length, it ended in order after the whole request.
  complete,
  /// No connection was made, so the server saw nothing.
  not_connected,
  /// The connection was reset or closed before the response was complete.
  broken,
  /// No byte arrived within the progress timeout, or a collected response took too long.
  timed_out,
  /// The bytes are not a response.
  malformed,
  /// The request cannot be written so that it is read as it is meant; nothing was sent.
  invalid_request,
};

std::string_view to_string(call_outcome outcome);

struct call_spec {
  net::address target;
  request message;
  duration connect_timeout = seconds(1);
  /// Asked when a new connection is made, right before the request is written. If it returns false,
  /// the call ends as not connected. Empty: the request is always written.
  std::function<bool()> may_send{};
  /// Longest time without a byte from the server once the connection is made.
  duration progress_timeout = seconds(5);
  /// Never uses a kept connection: a server may close one just as the request is sent, and then it
  /// is not known whether the request ran.
  bool new_connection = false;
  /// Id that the response repeats; empty if it has none. A connection whose last calls include one
  /// with the same id is not used: a late copy of that call's response would be taken for this
  /// one's.
  std::string response_id{};
  /// Larger responses end the call as malformed.
  std::size_t max_body_bytes = 1024UL * 1024;
  /// Whether the body is wanted, if it is not passed to `on_data`. It is received in any case.
  bool collect_body = true;
};

struct call_callbacks {
  /// Called with the status and the header fields. False skips the response, because it belongs to
  /// another request, and waits for the next one; without a length it ends the call as malformed.
  std::function<bool(const response&)> on_head;
  /// Called with each piece of the body; without it the body is collected.
  std::function<void(std::string_view)> on_data;
  /// Called once. `it` holds what had arrived, complete or not; its status is 0 without a head.
  std::function<void(call_outcome outcome, response it)> on_end;
};

/// A call in progress. Dropping the handle does not cancel it.
class call {
public:
  virtual ~call() = default;
  call() = default;
  call(const call&) = delete;
  call& operator=(const call&) = delete;
  call(call&&) = delete;
  call& operator=(call&&) = delete;

  /// Ends the call and resets its connection, so that the system sends no more of the request. No
  /// callback follows.
  virtual void cancel() = 0;
};

} // namespace boragedoor::http1
