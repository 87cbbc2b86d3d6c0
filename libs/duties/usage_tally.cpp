#include "duties/usage_tally.h"

#include "base/json.h"

namespace boragedoor::duties {

std::string to_document(const usage_counts& counts) {
  json out = json::object();
  for (const auto& [workspace, n] : counts) {
    out[workspace] = n;
  }
  return to_cbor(out);
}

result<usage_counts> usage_counts_from_document(std::string_view document) {
  const auto parsed = parse_cbor(document);
  if (!parsed) {
    return parsed.error();
  }
  usage_counts counts;
  if (!parsed.value().is_object()) {
    return error{error_code::protocol, "stored usage counts document is malformed"};
  }
  for (const auto& [workspace, n] : parsed.value().items()) {
    if (!n.is_number_unsigned()) {
      return error{error_code::protocol, "stored usage counts document is malformed"};
    }
    counts[workspace] = n.get<std::uint64_t>();
  }
  return counts;
}

void add(usage_counts& to, const usage_counts& from) {
  for (const auto& [workspace, n] : from) {
    to[workspace] += n;
  }
}

std::uint64_t window_of(wall_time at, duration length) {
  return static_cast<std::uint64_t>(at.time_since_epoch() / length);
}

wall_time end_of_window(std::uint64_t window, duration length) {
  return wall_time(length * static_cast<std::int64_t>(window + 1));
}

void usage_tally::count(std::string_view workspace, wall_time at) {
  usage_counts& counts = windows_[window_of(at, length_)];
  const auto it = counts.find(workspace);
  if (it == counts.end()) {
    counts.emplace(workspace, 1);
  } else {
    ++it->second;
  }
}

std::vector<std::uint64_t> usage_tally::ended_windows(wall_time now) const {
  std::vector<std::uint64_t> list;
  for (const auto& [window, counts] : windows_) {
    if (end_of_window(window, length_) <= now) {
      list.push_back(window);
    }
  }
  return list;
}

usage_counts usage_tally::counts(std::uint64_t window) const {
  const auto it = windows_.find(window);
  return it == windows_.end() ? usage_counts() : it->second;
}

} // namespace boragedoor::duties
