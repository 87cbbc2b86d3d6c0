#include "configuration/routes.h"

#include <utility>

namespace boragedoor::config {

namespace {

bool has_unsafe_segment(std::string_view path) {
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    const auto segment = path.substr(0, end);
    const bool is_last = end == path.size();
    if (segment == "." || segment == ".." || (segment.empty() && !is_last)) {
      return true;
    }
    path.remove_prefix(end);
  }
  return false;
}

/// Back ends may treat a backslash as a slash, an encoded character as the plain one, or cut the
/// path at a control character, ";" or "?".
bool is_safe_path(std::string_view path) {
  if (!path.starts_with('/') || has_unsafe_segment(path)) {
    return false;
  }
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    if (byte < first_printable || byte == del ||
        std::string_view("\\%;?#").find(c) != std::string_view::npos) {
      return false;
    }
  }
  return true;
}

bool covers(std::string_view prefix, std::string_view path) {
  if (prefix == "/") {
    return true;
  }
  return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

std::optional<service_route> find_route(const configuration& current, std::string_view service,
                                        std::string_view method, std::string_view path) {
  const auto* found = find_service(current, service);
  if (found == nullptr || !is_safe_path(path)) {
    return std::nullopt;
  }
  const service_route* best = nullptr;
  const auto rank = [](const service_route& it) {
    return std::pair(it.path_prefix.size(), it.method != "*");
  };
  for (const auto& it : found->routes) {
    const bool matches = (it.method == "*" || it.method == method) && covers(it.path_prefix, path);
    if (matches && (best == nullptr || rank(*best) < rank(it))) {
      best = &it;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace boragedoor::config
