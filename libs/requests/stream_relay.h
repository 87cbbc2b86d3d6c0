#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "requests/attempt_tracker.h"

namespace boragedoor::requests {

/// A frame for the caller, numbered across the whole response.
struct relayed_frame {
  std::uint64_t index = 0;
  std::string text;
  std::uint64_t weight_version = 0;
};

/// State that another endpoint needs to continue a stream.
struct stream_resume_state {
  /// Text generated so far, to be appended to the prompt.
  std::string text;
  /// Number of tokens still to be generated; each frame carries one token.
  std::uint64_t remaining_tokens = 0;
  /// Weight versions that have produced part of the text, ascending.
  std::vector<std::uint64_t> weight_versions;
};

/// A streamed response that several endpoints may produce in turn.
///
/// Only frames of the current attempt are accepted, in order. The next attempt continues from
/// exactly the accepted frames, so no token is lost or duplicated, whatever the previous endpoint
/// still sends.
class stream_relay {
public:
  static stream_relay create(std::uint64_t max_tokens);

  /// Starts or continues the stream with a new attempt. Fails with `conflict` if the response is
  /// already complete.
  result<stream_resume_state> begin_attempt(time_point now, std::string attempt);
  /// Adds a frame that the attempt tracker accepted. Returns nothing if the frame does not belong
  /// to the current attempt or is out of order.
  std::optional<relayed_frame> add_frame(time_point now, const stream_frame& frame);
  /// Handles the end marker. Fails with `protocol` if `frames` differs from the number received in
  /// this attempt, and with `conflict` if the response is already complete or `attempt` is not the
  /// current attempt.
  result<void> finish(time_point now, std::string_view attempt, std::uint64_t frames);

  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] std::uint64_t frames() const { return frames_; }
  /// Returns all weight versions that produced part of the text, ascending.
  [[nodiscard]] const std::vector<std::uint64_t>& weight_versions() const {
    return weight_versions_;
  }

private:
  explicit stream_relay(std::uint64_t max_tokens) : max_tokens_(max_tokens) {}

  std::uint64_t max_tokens_;
  std::string attempt_;
  /// Number of frames accepted from the current attempt, and from all attempts.
  std::uint64_t attempt_frames_ = 0;
  std::uint64_t frames_ = 0;
  std::string text_;
  std::vector<std::uint64_t> weight_versions_;
  bool complete_ = false;
};

} // namespace boragedoor::requests
