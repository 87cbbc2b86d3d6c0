#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace boragedoor::net {

/// Checks the head of a response as its bytes arrive.
///
/// Design note: HTTP libraries accept numbers of any length for a status, and what they report does
/// not show it any more, so the bytes are checked beside them.
class head_check {
public:
  /// Takes the next bytes of the message. Returns how many of them belong to its head: less than
  /// all once the head is complete.
  std::size_t feed(std::string_view data);
  /// Prepares for the head of the next message.
  void restart() { *this = {}; }

  /// Whether the empty line behind the fields has arrived.
  [[nodiscard]] bool is_complete() const { return place_ == place::end; }
  /// Whether the start line states a status: three digits, the first of them from 1 to 5 (RFC 9110,
  /// 15).
  [[nodiscard]] bool has_valid_status() const;
  /// Whether the status is valid and that of an interim response.
  [[nodiscard]] bool is_interim() const;

private:
  enum class place { before, start_line, line_start, field, end };

  void take(char it);

  place place_ = place::before;
  /// The start line up to the character behind the status.
  std::string start_;
};

} // namespace boragedoor::net
