#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace boragedoor::net {

/// Whether a character may stand in a token, such as a method or the name of a field (RFC 9110,
/// 5.6.2).
bool is_token_character(char it);

/// Checks the head of a message as its bytes arrive.
///
/// Design note: HTTP libraries accept heads that other receivers read in another way. They take
/// numbers of any length for a status and any text before a colon for the name of a field, which
/// may hide the length of the body, and join a line that begins with white space to the field
/// before it. What they report does not show it any more, so the bytes are checked beside them.
class head_check {
public:
  /// Takes the next bytes of the message. Returns how many of them belong to its head: less than
  /// all once the head is complete.
  std::size_t feed(std::string_view data);
  /// Prepares for the head of the next message.
  void restart() { *this = {}; }

  /// Whether the empty line behind the fields has arrived.
  [[nodiscard]] bool is_complete() const { return place_ == place::end; }
  /// Whether each line behind the start line began with the name of a field and a colon so far, and
  /// no line held a carriage return that does not end it.
  [[nodiscard]] bool has_valid_lines() const { return has_valid_lines_; }
  /// Whether the start line is that of a response with a status: three digits, the first of them
  /// from 1 to 5 (RFC 9110, 15).
  [[nodiscard]] bool has_valid_status() const;
  /// Whether the status is valid and that of an interim response.
  [[nodiscard]] bool is_interim() const;

private:
  enum class place { before, start_line, line_start, name, value, end };

  void take(char it);
  void take_name(char it);

  place place_ = place::before;
  bool has_valid_lines_ = true;
  bool after_carriage_return_ = false;
  /// The start line up to the character behind the status.
  std::string start_;
};

} // namespace boragedoor::net
