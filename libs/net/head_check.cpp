#include "net/head_check.h"

#include <cctype>

namespace boragedoor::net {

namespace {

/// Where the status stands in the start line of a response, behind "HTTP/1.1 ".
constexpr std::size_t status_at = 9;
constexpr std::size_t status_digits = 3;
/// Length of the start of a response up to the character behind its status.
constexpr std::size_t status_end = status_at + status_digits + 1;

} // namespace

bool is_token_character(char it) {
  constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(it)) != 0 ||
         others.find(it) != std::string_view::npos;
}

std::size_t head_check::feed(std::string_view data) {
  std::size_t used = 0;
  while (used < data.size() && !is_complete()) {
    take(data[used++]);
  }
  return used;
}

void head_check::take(char it) {
  // Some receivers take a carriage return alone for the end of a line (RFC 9112, 2.2).
  has_valid_lines_ = has_valid_lines_ && (!after_carriage_return_ || it == '\n');
  after_carriage_return_ = it == '\r';
  switch (place_) {
  case place::before:
    if (it == '\r' || it == '\n') {
      return;
    }
    place_ = place::start_line;
    [[fallthrough]];
  case place::start_line:
    if (start_.size() < status_end) {
      start_ += it;
    }
    if (it == '\n') {
      place_ = place::line_start;
    }
    return;
  case place::line_start:
    if (it == '\n') {
      place_ = place::end;
    } else if (it != '\r') {
      has_valid_lines_ = has_valid_lines_ && it != ':';
      take_name(it);
    }
    return;
  case place::name:
    take_name(it);
    return;
  case place::value:
    if (it == '\n') {
      place_ = place::line_start;
    }
    return;
  case place::end:
    return;
  }
}

void head_check::take_name(char it) {
  if (it == ':') {
    place_ = place::value;
    return;
  }
  has_valid_lines_ = has_valid_lines_ && is_token_character(it);
  place_ = it == '\n' ? place::line_start : place::name;
}

bool head_check::has_valid_status() const {
  if (start_.size() < status_end || start_[status_at - 1] != ' ') {
    return false;
  }
  const std::string_view status = std::string_view(start_).substr(status_at, status_digits);
  const char next = start_.back();
  return status.front() >= '1' && status.front() <= '5' &&
         status.find_first_not_of("0123456789") == std::string_view::npos &&
         (next == ' ' || next == '\r' || next == '\n');
}

bool head_check::is_interim() const {
  return has_valid_status() && start_[status_at] == '1';
}

} // namespace boragedoor::net
