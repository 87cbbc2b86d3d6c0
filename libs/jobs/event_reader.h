#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragedoor::jobs {

/// One event of a generation's stream (text/event-stream).
struct stream_event {
  std::optional<std::uint64_t> id;
  /// Fields with other names, for example one that names a change of the weight version.
  std::optional<std::string> field_name;
  std::string field_value;
  std::string data;
};

/// Splits a stream into events. An event counts once its closing empty line has arrived, so one
/// that is cut off is never reported.
class event_reader {
public:
  /// Takes bytes and calls `on_event` for each event that is complete.
  void feed(std::string_view data, const std::function<void(const stream_event&)>& on_event);
  /// Whether bytes of an incomplete event are left.
  [[nodiscard]] bool has_partial() const { return !buffer_.empty(); }

private:
  std::string buffer_;
};

} // namespace boragedoor::jobs
