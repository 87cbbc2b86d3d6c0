#include "usage/naive_usage_window.h"

namespace boragedoor::usage {

naive_usage_window naive_usage_window::create(std::uint32_t shard) {
  return naive_usage_window(shard);
}

void naive_usage_window::flush(time_point /*now*/, const usage_flush& it) {
  for (const auto& [window, table] : it.windows) {
    add(windows_[window], table);
  }
}

std::string naive_usage_window::report(time_point /*now*/, std::uint64_t window) const {
  const auto it = windows_.find(window);
  frozen_window document{shard_, window, report_id(window, shard_), {}};
  document.included[{}].table = it == windows_.end() ? usage_table{} : it->second;
  return report_body(document);
}

} // namespace boragedoor::usage
