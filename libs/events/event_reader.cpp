#include "events/event_reader.h"

#include <algorithm>
#include <utility>

namespace boragedoor::events {

namespace {

/// Malformed lines that are described; the others are only counted.
constexpr std::uint64_t max_described = 10;

/// Reads the entries of one source.
class source_reader {
public:
  source_reader(std::string_view source, event_batch& into) : source_(source), into_(into) {}

  void take(const result<json>& value, int line) {
    if (!value) {
      report(line, value.error().message);
      return;
    }
    auto it = event_from_json(value.value());
    if (!it) {
      report(line, it.error().message);
      return;
    }
    into_.events.push_back(std::move(it.value()));
  }

private:
  void report(int line, const std::string& problem) {
    ++into_.malformed_lines;
    if (++malformed_ <= max_described) {
      into_.problems.push_back({std::string(source_), line, "", problem,
                                "the line is left out; look for a cut or foreign line"});
    }
  }

  std::string_view source_;
  event_batch& into_;
  std::uint64_t malformed_ = 0;
};

} // namespace

void read_events(std::string_view text, std::string_view source, event_batch& into) {
  source_reader reader(source, into);
  for (int line = 1; !text.empty(); ++line) {
    const auto end = std::min(text.find('\n'), text.size());
    const auto content = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (content.find_first_not_of(" \t\r") != std::string_view::npos) {
      reader.take(parse_json(content), line);
    }
  }
}

result<void> read_reply(const json& reply, std::string_view source, event_batch& into) {
  const auto list = reply.is_object() ? reply.find("events") : reply.end();
  if (!reply.is_object() || list == reply.end() || !list->is_array()) {
    return error{error_code::protocol, std::string(source) + ": the reply has no list 'events'"};
  }
  source_reader reader(source, into);
  int position = 0;
  for (const auto& it : *list) {
    reader.take(it, ++position);
  }
  return success();
}

} // namespace boragedoor::events
