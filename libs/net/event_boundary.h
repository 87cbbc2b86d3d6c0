#pragma once

#include <string_view>

namespace boragedoor::net {

/// Tracks whether a stream of server-sent events stands inside an event, without keeping it. Lines
/// end with LF, CR LF or CR; an event ends with an empty line.
class event_boundary {
public:
  /// Takes the next bytes.
  void feed(std::string_view bytes);

  /// Whether no event has begun that has not ended. Comments are of no event.
  [[nodiscard]] bool is_between_events() const { return !in_event_ && !awaits_lf_; }

private:
  void end_line(char end);

  bool in_event_ = false;
  bool in_line_ = false;
  bool after_cr_ = false;
  /// Whether the line before ended with CR LF.
  bool uses_crlf_ = false;
  /// Whether the empty line that ends an event has its CR and not its LF.
  bool awaits_lf_ = false;
};

} // namespace boragedoor::net
