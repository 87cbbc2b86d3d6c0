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

/// A frame for the caller, numbered over the whole answer.
struct relayed_frame {
  std::uint64_t index = 0;
  std::string text;
  std::uint64_t weight_version = 0;
};

/// What another endpoint needs to carry on.
struct stream_resumption {
  /// Appended to the prompt.
  std::string text;
  /// Tokens still wanted; one frame carries one token.
  std::uint64_t max_tokens = 0;
  /// Versions that took part so far.
  std::vector<std::uint64_t> weight_versions;
};

/// A streamed answer that may be produced by several endpoints in turn.
///
/// Only frames of the current attempt are taken, in order. What was taken is exactly what the next
/// attempt starts from, so no token is lost or doubled whatever the old endpoint still sends.
class stream_relay {
public:
  static stream_relay create(std::uint64_t max_tokens);

  /// A new attempt carries on. Fails with `conflict` if the answer is whole.
  result<stream_resumption> resume(time_point now, std::string attempt);
  /// A frame that the attempt tracker accepted. Empty if it is not of the current attempt or out
  /// of order.
  std::optional<relayed_frame> take(time_point now, const stream_frame& frame);
  /// The end marker. Fails with `protocol` if frames are missing, with `conflict` if it is not of
  /// the current attempt.
  result<void> finish(time_point now, std::string_view attempt, std::uint64_t frames);

  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] std::uint64_t frames() const { return frames_; }
  /// All versions that produced a part, ascending.
  [[nodiscard]] const std::vector<std::uint64_t>& weight_versions() const { return versions_; }

private:
  explicit stream_relay(std::uint64_t max_tokens) : max_tokens_(max_tokens) {}

  std::uint64_t max_tokens_;
  std::string attempt_;
  /// Frames taken of the current attempt, and of all.
  std::uint64_t attempt_frames_ = 0;
  std::uint64_t frames_ = 0;
  std::string text_;
  std::vector<std::uint64_t> versions_;
  bool complete_ = false;
};

} // namespace boragedoor::requests
