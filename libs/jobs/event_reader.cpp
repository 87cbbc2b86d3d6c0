#include "jobs/event_reader.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace boragedoor::jobs {

namespace {

std::optional<std::uint64_t> to_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

void parse_line(std::string_view line, stream_event& event, bool& has_data) {
  const auto colon = std::min(line.find(':'), line.size());
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(std::min(colon + 1, line.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "id") {
    event.id = to_number(value);
  } else if (name == "data") {
    if (has_data) {
      event.data += '\n';
    }
    event.data += value;
    has_data = true;
  } else if (!name.empty()) {
    event.field_name = std::string(name);
    event.field_value = std::string(value);
  }
}

} // namespace

bool event_reader::feed(std::string_view data,
                        const std::function<void(const stream_event&)>& on_event) {
  constexpr std::string_view separator = "\n\n";
  if (too_large_) {
    return false;
  }
  std::remove_copy(data.begin(), data.end(), std::back_inserter(buffer_), '\r');
  std::size_t from = 0;
  for (auto end = buffer_.find(separator, searched_); end != std::string::npos;
       end = buffer_.find(separator, from)) {
    stream_event it;
    bool has_data = false;
    std::string_view block = std::string_view(buffer_).substr(from, end - from);
    while (!block.empty()) {
      const auto line_end = std::min(block.find('\n'), block.size());
      parse_line(block.substr(0, line_end), it, has_data);
      block.remove_prefix(std::min(line_end + 1, block.size()));
    }
    on_event(it);
    from = end + separator.size();
  }
  buffer_.erase(0, from);
  // The first character of a separator may be the last one of the buffer.
  searched_ = buffer_.empty() ? 0 : buffer_.size() - 1;
  too_large_ = buffer_.size() > max_event_bytes;
  return !too_large_;
}

} // namespace boragedoor::jobs
