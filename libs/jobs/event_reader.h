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
  /// Appends `data` to the buffer and calls `on_event` for each complete event.
  void feed(std::string_view data, const std::function<void(const stream_event&)>& on_event);
  /// Whether the buffer holds the beginning of an incomplete event.
  [[nodiscard]] bool has_incomplete_event() const { return !buffer_.empty(); }

private:
  std::string buffer_;
};

} // namespace boragedoor::jobs
