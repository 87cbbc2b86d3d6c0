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

/// One frame of a streamed answer, as the endpoint sent it.
struct stream_frame {
  /// The `attempt` field of the frame.
  std::string attempt;
  /// From 0, without a gap. The end marker carries the number of frames before it.
  std::uint64_t index = 0;
  std::string text;
  std::uint64_t weight_version = 0;
};

/// A frame in its place: pass it on.
struct frame_accepted {
  std::uint64_t request = 0;
  stream_frame frame;
};

/// The answer of this attempt is whole, and the first for its request: give it to the caller.
struct answer_accepted {
  std::uint64_t request = 0;
  std::string attempt;
};

/// The attempt ended without a whole answer.
struct attempt_broken {
  std::uint64_t request = 0;
  std::string attempt;
  std::string reason;
};

/// Another attempt won, or the caller left: cancel this one at its endpoint.
struct cancel_attempt {
  std::string attempt;
  std::uint64_t connection = 0;
};

/// The connection carried something that cannot be matched; nothing on it can be trusted.
struct close_connection {
  std::uint64_t connection = 0;
  std::string reason;
};

using attempt_action =
    std::variant<frame_accepted, answer_accepted, attempt_broken, cancel_attempt, close_connection>;
using attempt_actions = std::vector<attempt_action>;

/// Matches answers of endpoints to the attempts they belong to, so that a caller gets the whole
/// answer to its own request and no other, at most once.
class attempt_tracker {
public:
  /// An attempt is about to be sent. Ids are never used again. A request may have several attempts
  /// at a time (hedging), a connection one.
  attempt_actions begin(time_point now, std::string attempt, std::uint64_t request,
                        std::uint64_t connection, bool stream);

  /// A whole answer that is no stream; `attempt` is what the response names.
  attempt_actions answer(time_point now, std::uint64_t connection, std::string_view attempt);
  attempt_actions frame(time_point now, std::uint64_t connection, const stream_frame& it);
  attempt_actions end_of_stream(time_point now, std::uint64_t connection, std::string_view attempt,
                                std::uint64_t frames);
  /// An error frame, or an error status that names the attempt.
  attempt_actions error_answer(time_point now, std::uint64_t connection, std::string_view attempt,
                               std::string_view reason);
  /// The connection ended, or is given up by a progress deadline.
  attempt_actions connection_lost(time_point now, std::uint64_t connection,
                                  std::string_view reason);
  /// The caller has its answer by other means or is gone.
  attempt_actions cancel_request(time_point now, std::uint64_t request);

  [[nodiscard]] std::size_t running() const { return attempts_.size(); }

private:
  struct attempt_state {
    std::uint64_t request = 0;
    std::uint64_t connection = 0;
    bool stream = false;
    std::uint64_t frames = 0;
  };

  attempt_state* match(std::uint64_t connection, std::string_view attempt, bool stream,
                       attempt_actions& out);
  void close(std::uint64_t connection, std::string reason, attempt_actions& out);
  void complete(std::string_view attempt, attempt_actions& out);
  void remove(const std::string& attempt);

  std::map<std::string, attempt_state, std::less<>> attempts_;
  std::map<std::uint64_t, std::string> by_connection_;
  std::multimap<std::uint64_t, std::string> by_request_;
};

} // namespace boragedoor::requests
