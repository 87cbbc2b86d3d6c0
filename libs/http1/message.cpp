#include "http1/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <memory>

#include <event2/http.h>
#include <http_parser.h>

#include "net/head_check.h"

namespace boragedoor::http1 {

namespace {

char lower(char it) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

std::string decode_component(std::string_view text) {
  std::size_t n = 0;
  const std::string copy(text);
  const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(copy.c_str(), 1, &n),
                                                            &std::free);
  return decoded ? std::string(decoded.get(), n) : std::string();
}

} // namespace

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
  const auto mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return decode_component(pair.substr(std::min(equals + 1, pair.size())));
    }
  }
  return std::nullopt;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

bool has_token(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const auto end = std::min(value.find(','), value.size());
    if (equal_ignoring_case(trim(value.substr(0, end)), token)) {
      return true;
    }
    value.remove_prefix(std::min(end + 1, value.size()));
  }
  return false;
}

bool is_hop_by_hop(std::string_view name) {
  constexpr std::array<std::string_view, 9> names = {
      "connection",        "keep-alive",         "proxy-connection",
      "transfer-encoding", "content-length",     "te",
      "trailer",           "proxy-authenticate", "upgrade"};
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view it) { return equal_ignoring_case(it, name); });
}

bool is_valid_header(std::string_view name, std::string_view value) {
  const auto visible = [](char it) {
    const auto code = static_cast<unsigned char>(it);
    return it == '\t' || (code >= 0x20 && code != 0x7f);
  };
  return !name.empty() && std::all_of(name.begin(), name.end(), net::is_token_character) &&
         std::all_of(value.begin(), value.end(), visible);
}

bool is_valid_target(std::string_view target) {
  return !target.empty() && std::all_of(target.begin(), target.end(), [](char it) {
    const auto code = static_cast<unsigned char>(it);
    return code > 0x20 && code < 0x7f;
  });
}

bool is_exact_field_value(std::string_view value) {
  return !value.empty() && trim(value).size() == value.size() && is_valid_header("name", value);
}

bool is_writable(const request& it) {
  return !it.method.empty() &&
         std::all_of(it.method.begin(), it.method.end(), net::is_token_character) &&
         is_valid_target(it.target) &&
         std::all_of(it.headers.begin(), it.headers.end(),
                     [](const auto& field) { return is_valid_header(field.first, field.second); });
}

std::string_view reason_phrase(int status) {
  switch (status) {
#define BORAGEDOOR_PHRASE(number, name, text)                                                      \
  case number:                                                                                     \
    return #text;
    HTTP_STATUS_MAP(BORAGEDOOR_PHRASE)
#undef BORAGEDOOR_PHRASE
  default:
    return "Unknown";
  }
}

std::uint64_t number_parameter(std::string_view target, std::string_view name) {
  std::uint64_t value = 0;
  if (const auto text = query_parameter(target, name)) {
    std::from_chars(text->data(), text->data() + text->size(), value);
  }
  return value;
}

std::optional<std::int64_t> integer_header(const net::headers& list, std::string_view name) {
  const std::string_view text = net::find_header(list, name);
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace boragedoor::http1
