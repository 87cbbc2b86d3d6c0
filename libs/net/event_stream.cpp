#include "net/event_stream.h"

namespace boragedoor::net {

std::string format_event(std::string_view data) {
  return "data: " + std::string(data) + "\n\n";
}

std::vector<std::string> event_stream_parser::feed(std::string_view bytes) {
  std::vector<std::string> events;
  buffer_ += bytes;
  std::size_t from = 0;
  for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
       end = buffer_.find('\n', from)) {
    std::string_view line(buffer_.data() + from, end - from);
    from = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      if (has_data_) {
        events.push_back(std::move(data_));
        data_.clear();
        has_data_ = false;
      }
    } else if (line.starts_with("data:")) {
      line.remove_prefix(5);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      data_ += (has_data_ ? "\n" : "") + std::string(line);
      has_data_ = true;
    }
  }
  buffer_.erase(0, from);
  if (buffer_.size() + data_.size() > max_event_bytes) {
    overflowed_ = true;
  }
  return events;
}

} // namespace boragedoor::net
