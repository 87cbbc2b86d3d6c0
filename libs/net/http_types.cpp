#include "net/http_types.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace boragedoor::net {

std::string to_string(const address& at) {
  return at.host + ':' + std::to_string(at.port);
}

address parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return {};
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size() || port == 0) {
    return {};
  }
  return {std::string(text.substr(0, colon)), port};
}

std::string_view find_header(const headers& list, std::string_view name) {
  const auto same_letter = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  for (const auto& [key, value] : list) {
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(), same_letter)) {
      return value;
    }
  }
  return {};
}

} // namespace boragedoor::net
