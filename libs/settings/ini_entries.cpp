#include "settings/ini_entries.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <ini.h>

namespace boragedoor::settings {

namespace {

std::string_view trim(std::string_view text) {
  constexpr std::string_view blanks = " \t\r\n\v\f";
  const auto first = text.find_first_not_of(blanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Feeds lines to inih and collects what it finds. The packaged inih passes no line numbers to
/// its handler and reports only the first malformed line, so the reader counts lines and checks
/// that each line with content led to a call of the handler.
class ini_collector {
public:
  ini_collector(std::string_view text, std::string_view file) : rest_(text), file_(file) {
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    if (rest_.starts_with(byte_order_mark)) {
      rest_.remove_prefix(byte_order_mark.size());
    }
  }

  ini_content collect() {
    ini_parse_stream(&read_line, this, &take_entry, this);
    check_last_line();
    return std::move(content_);
  }

private:
  static char* read_line(char* buf, int n, void* self) {
    return static_cast<ini_collector*>(self)->next_line(buf, static_cast<std::size_t>(n));
  }

  static int take_entry(void* self, const char* section, const char* key, const char* value) {
    auto& it = *static_cast<ini_collector*>(self);
    it.awaits_entry_ = false;
    it.content_.entries.push_back({it.line_, section, key, value});
    return 1;
  }

  char* next_line(char* buf, std::size_t n) {
    check_last_line();
    if (rest_.empty()) {
      return nullptr;
    }
    const auto end = std::min(rest_.find('\n'), rest_.size());
    // Without leading blanks inih never takes a line as the continuation of a value.
    const std::string_view line = trim(rest_.substr(0, end));
    rest_.remove_prefix(std::min(end + 1, rest_.size()));
    ++line_;
    const std::string_view usable = checked_line(line, n);
    std::ranges::copy(usable, buf);
    buf[usable.size()] = '\0';
    return buf;
  }

  std::string_view checked_line(std::string_view line, std::size_t n) {
    if (line.size() + 1 > n) {
      report("the line is too long", "use at most " + std::to_string(n - 1) + " characters");
      return {};
    }
    if (line.find('\0') != std::string_view::npos) {
      report("the line contains a NUL byte", "remove the byte");
      return {};
    }
    if (line.empty() || line.front() == ';' || line.front() == '#') {
      return {};
    }
    const auto close = line.find(']');
    if (line.front() == '[' && close != std::string_view::npos) {
      content_.sections.push_back({line_, std::string(line.substr(1, close - 1))});
    } else {
      awaits_entry_ = true;
    }
    return line;
  }

  void check_last_line() {
    if (awaits_entry_) {
      report("neither a section nor a key with a value", "write [section] or key = value");
    }
    awaits_entry_ = false;
  }

  void report(std::string problem, std::string remedy) {
    content_.problems.push_back({file_, line_, "", std::move(problem), std::move(remedy)});
  }

  std::string_view rest_;
  std::string file_;
  int line_ = 0;
  bool awaits_entry_ = false;
  ini_content content_;
};

} // namespace

ini_content read_ini(std::string_view text, std::string_view file) {
  return ini_collector(text, file).collect();
}

} // namespace boragedoor::settings
