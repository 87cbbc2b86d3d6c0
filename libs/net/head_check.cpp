#include "net/head_check.h"

namespace boragedoor::net {

namespace {

/// Where the status stands in the start line of a response, behind "HTTP/1.1 ".
constexpr std::size_t status_at = 9;
constexpr std::size_t status_digits = 3;
/// Length of the start of a response up to the character behind its status.
constexpr std::size_t status_end = status_at + status_digits + 1;

} // namespace

std::size_t head_check::feed(std::string_view data) {
  std::size_t used = 0;
  while (used < data.size() && !is_complete()) {
    take(data[used++]);
  }
  return used;
}

void head_check::take(char it) {
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
      place_ = place::field;
    }
    return;
  case place::field:
    if (it == '\n') {
      place_ = place::line_start;
    }
    return;
  case place::end:
    return;
  }
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
