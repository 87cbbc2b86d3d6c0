#include "net/event_boundary.h"

#include <algorithm>
#include <utility>

namespace boragedoor::net {

void event_boundary::feed(std::string_view bytes) {
  // The next ones at or behind the position, found once each, so that the time is linear.
  auto lf = bytes.find('\n');
  auto cr = bytes.find('\r');
  std::size_t at = 0;
  while (at < bytes.size()) {
    awaits_lf_ = false;
    if (std::exchange(after_cr_, false)) {
      uses_crlf_ = bytes[at] == '\n';
      if (uses_crlf_) {
        ++at;
        continue;
      }
    }
    lf = lf < at ? bytes.find('\n', at) : lf;
    cr = cr < at ? bytes.find('\r', at) : cr;
    const auto end = std::min(lf, cr);
    if (end != at && !std::exchange(in_line_, true) && bytes[at] != ':') {
      in_event_ = true;
    }
    if (end == std::string_view::npos) {
      return;
    }
    end_line(bytes[end]);
    at = end + 1;
  }
}

void event_boundary::end_line(char end) {
  after_cr_ = end == '\r';
  uses_crlf_ = uses_crlf_ && after_cr_;
  if (!std::exchange(in_line_, false)) {
    awaits_lf_ = std::exchange(in_event_, false) && uses_crlf_;
  }
}

} // namespace boragedoor::net
