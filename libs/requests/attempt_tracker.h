#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"

namespace boragedoor::requests {

/// One frame of a streamed response, as sent by the endpoint.
struct stream_frame {
  /// The `attempt` field of the frame.
  std::string attempt;
  /// Position in the stream, from 0 without gaps. The end marker carries the number of frames
  /// before it.
  std::uint64_t index = 0;
  std::string text;
  std::uint64_t weight_version = 0;
};

/// A frame arrived in order and is to be forwarded.
struct frame_accepted {
  std::uint64_t request = 0;
  stream_frame frame;
};

/// The response of this attempt is complete and the first for its request. It is to be returned to
/// the caller.
struct response_accepted {
  std::uint64_t request = 0;
  std::string attempt;
};

/// The attempt ended without a complete response.
struct attempt_failed {
  std::uint64_t request = 0;
  std::string attempt;
  std::string reason;
};

/// Another attempt completed first, or the caller disconnected. The attempt is to be cancelled at
/// its endpoint.
struct cancel_attempt {
  std::string attempt;
  std::uint64_t connection = 0;
};

/// The connection carried data that cannot be matched to its attempt. It is to be closed, because
/// nothing received on it can be trusted.
struct close_connection {
  std::uint64_t connection = 0;
  std::string reason;
};

using attempt_action = std::variant<frame_accepted, response_accepted, attempt_failed,
                                    cancel_attempt, close_connection>;
using attempt_actions = std::vector<attempt_action>;

/// Matches responses of endpoints to attempts, so that a caller receives only the complete response
/// to its own request, and at most once.
class attempt_tracker {
public:
  /// Registers an attempt that is about to be sent. Attempt ids must not be reused. A request may
  /// have several concurrent attempts (hedging), a connection only one.
  attempt_actions begin(time_point now, std::string attempt, std::uint64_t request,
                        std::uint64_t connection, bool stream);

  /// Handles a complete non-streamed response; `attempt` is the attempt id that the response
  /// carries.
  attempt_actions response(time_point now, std::uint64_t connection, std::string_view attempt);
  attempt_actions frame(time_point now, std::uint64_t connection, const stream_frame& received);
  attempt_actions end_of_stream(time_point now, std::uint64_t connection, std::string_view attempt,
                                std::uint64_t frames);
  /// Handles an error frame, or an error response that carries the attempt id.
  attempt_actions error_response(time_point now, std::uint64_t connection, std::string_view attempt,
                                 std::string_view reason);
  /// Handles a connection that was closed, or aborted after a progress timeout.
  attempt_actions connection_lost(time_point now, std::uint64_t connection,
                                  std::string_view reason);
  /// Cancels all attempts of a request whose caller has been answered or has disconnected.
  attempt_actions cancel_request(time_point now, std::uint64_t request);

  [[nodiscard]] std::size_t running_attempts() const { return attempts_.size(); }

private:
  struct attempt_state {
    std::uint64_t request = 0;
    std::uint64_t connection = 0;
    bool stream = false;
    std::uint64_t frames = 0;
  };

  attempt_state* match(std::uint64_t connection, std::string_view attempt, bool stream,
                       attempt_actions& actions);
  void fail_connection(std::uint64_t connection, std::string reason, attempt_actions& actions);
  void complete_request(std::string_view attempt, attempt_actions& actions);
  void remove_attempt(const std::string& attempt);

  std::map<std::string, attempt_state, std::less<>> attempts_;
  std::map<std::uint64_t, std::string> by_connection_;
  std::multimap<std::uint64_t, std::string> by_request_;
};

} // namespace boragedoor::requests
