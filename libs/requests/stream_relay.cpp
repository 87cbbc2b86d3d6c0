#include "requests/stream_relay.h"

#include <algorithm>

namespace boragedoor::requests {

stream_relay stream_relay::create(std::uint64_t max_tokens) {
  return stream_relay(max_tokens);
}

result<stream_resume_state> stream_relay::begin_attempt(time_point /*now*/, std::string attempt) {
  if (complete_) {
    return error{error_code::conflict, "the response is already complete"};
  }
  attempt_ = std::move(attempt);
  attempt_frames_ = 0;
  return stream_resume_state{text_, max_tokens_ - std::min(max_tokens_, frames_), weight_versions_};
}

std::optional<relayed_frame> stream_relay::add_frame(time_point /*now*/,
                                                     const stream_frame& frame) {
  if (complete_ || frame.attempt != attempt_ || frame.index != attempt_frames_) {
    return std::nullopt;
  }
  ++attempt_frames_;
  text_ += frame.text;
  const auto position = std::ranges::lower_bound(weight_versions_, frame.weight_version);
  if (position == weight_versions_.end() || *position != frame.weight_version) {
    weight_versions_.insert(position, frame.weight_version);
  }
  return relayed_frame{frames_++, frame.text, frame.weight_version};
}

result<void> stream_relay::finish(time_point /*now*/, std::string_view attempt,
                                  std::uint64_t frames) {
  if (complete_ || attempt != attempt_) {
    return error{error_code::conflict, "the end marker does not belong to the current attempt"};
  }
  if (frames != attempt_frames_) {
    return error{error_code::protocol, "the end marker has a wrong frame count"};
  }
  complete_ = true;
  return success();
}

} // namespace boragedoor::requests
