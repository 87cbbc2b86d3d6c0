#include "net/http_types.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

#include <event2/http.h>

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

bool is_ip_address(const std::string& host) {
  in_addr parsed{};
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
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

std::string encode_component(std::string_view text) {
  char* encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string value(encoded);
  std::free(encoded); // NOLINT(cppcoreguidelines-no-malloc): evhttp allocated it
  return value;
}

std::string encode_path(std::string_view path) {
  std::string encoded;
  std::size_t from = 0;
  while (from <= path.size()) {
    const std::size_t slash = std::min(path.find('/', from), path.size());
    encoded += encode_component(path.substr(from, slash - from));
    if (slash < path.size()) {
      encoded += '/';
    }
    from = slash + 1;
  }
  return encoded;
}

} // namespace boragedoor::net
