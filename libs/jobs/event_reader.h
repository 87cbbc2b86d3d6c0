#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragedoor::jobs {

/// One event of a generation's response stream (text/event-stream).
struct stream_event {
  std::optional<std::uint64_t> id;
  /// Name and value of the event's last field other than `id` and `data`. Such a field reports, for
  /// example, that the weight version has changed.
  std::optional<std::string> field_name;
  std::string field_value;
  std::string data;
};

/// Splits a stream into events. An event is reported once its terminating empty line has arrived;
/// a truncated event is never reported.
class event_reader {
public:
  /// Events of a text hold a few tokens. An endpoint that sends more without an end of the event
  /// sends no text.
  static constexpr std::size_t max_event_bytes = 256UL * 1024;

  /// Appends `data` to the buffer and calls `on_event` for each complete event. Returns false, now
  /// and from then on, if an event is larger than `max_event_bytes`.
  bool feed(std::string_view data, const std::function<void(const stream_event&)>& on_event);
  /// Whether the buffer holds the beginning of an incomplete event.
  [[nodiscard]] bool has_incomplete_event() const { return !buffer_.empty(); }

private:
  std::string buffer_;
  /// Length of the part of the buffer that holds no separator.
  std::size_t searched_ = 0;
  bool too_large_ = false;
};

} // namespace boragedoor::jobs
