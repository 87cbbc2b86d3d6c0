#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace boragedoor::net {

/// A TCP address. Hosts are IP numbers; names are never resolved.
struct address {
  std::string host;
  std::uint16_t port = 0;

  friend auto operator<=>(const address&, const address&) = default;
};

/// Formats as "host:port".
std::string to_string(const address& at);

/// Parses "host:port"; returns port 0 when the text is no such address.
address parse_address(std::string_view text);

/// Whether a host is an IPv4 address in dotted decimal notation.
bool is_ip_address(const std::string& host);

/// Header fields in the order in which they are sent.
using headers = std::vector<std::pair<std::string, std::string>>;

/// Finds a header by its name without regard to case; returns an empty view when it is missing.
std::string_view find_header(const headers& list, std::string_view name);

/// Percent-encodes a query component or a path segment.
std::string encode_component(std::string_view text);

/// Percent-encodes a path; slashes stay as they are.
std::string encode_path(std::string_view path);

/// A request as the server received it.
struct http_request {
  std::string method;
  /// Decoded path without the query.
  std::string path;
  std::map<std::string, std::string, std::less<>> query;
  headers fields;
  std::string body;
};

/// What a server accepts. Larger input is refused before it reaches a handler.
struct http_limits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
  /// Longest pause while a request is being received or a reply is being taken.
  duration idle_timeout = seconds(30);
};

} // namespace boragedoor::net
