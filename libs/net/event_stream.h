#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace boragedoor::net {

/// Formats one server-sent event with a data line.
std::string format_event(std::string_view data);

/// Splits a stream of server-sent events into the data of its events. Other fields are ignored.
class event_stream_parser {
public:
  /// Longest event that is accepted, in bytes.
  static constexpr std::size_t max_event_bytes = 1024UL * 1024;

  /// Takes the next bytes and returns the data of the events that they complete.
  std::vector<std::string> feed(std::string_view bytes);

  /// True when an event was too long. The stream must be given up then.
  [[nodiscard]] bool overflowed() const { return overflowed_; }

private:
  std::string buffer_;
  std::string data_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

} // namespace boragedoor::net
