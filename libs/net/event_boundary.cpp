#include "net/event_boundary.h"

#include <algorithm>
#include <utility>

namespace boragedoor::net {

void event_boundary::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    awaits_lf_ = false;
    if (std::exchange(after_cr_, false)) {
      uses_crlf_ = bytes.front() == '\n';
      if (uses_crlf_) {
        bytes.remove_prefix(1);
        continue;
      }
    }
    const auto lf = bytes.find('\n');
    const auto end = std::min(lf, bytes.substr(0, lf).find('\r'));
    if (end != 0 && !std::exchange(in_line_, true) && bytes.front() != ':') {
      in_event_ = true;
    }
    if (end == std::string_view::npos) {
      return;
    }
    end_line(bytes[end]);
    bytes.remove_prefix(end + 1);
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
