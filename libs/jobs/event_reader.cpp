#include "jobs/event_reader.h"

#include <algorithm>
#include <charconv>

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

void event_reader::feed(std::string_view data,
                        const std::function<void(const stream_event&)>& on_event) {
  constexpr std::string_view separator = "\n\n";
  buffer_.append(data);
  std::erase(buffer_, '\r');
  std::size_t from = 0;
  for (auto end = buffer_.find(separator); end != std::string::npos;
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
}

} // namespace boragedoor::jobs
