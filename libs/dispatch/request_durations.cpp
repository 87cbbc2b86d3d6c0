#include "dispatch/request_durations.h"

#include <algorithm>

namespace boragedoor::dispatch {

void request_durations::record(std::string_view route, duration took) {
  auto it = routes_.find(route);
  if (it == routes_.end()) {
    it = routes_.emplace(route, samples()).first;
  }
  samples& of = it->second;
  of.last[of.count++ % max_samples] = took;
}

std::optional<duration> request_durations::longest(std::string_view route) const {
  const auto it = routes_.find(route);
  if (it == routes_.end()) {
    return std::nullopt;
  }
  const samples& of = it->second;
  const auto end = of.last.begin() + static_cast<std::ptrdiff_t>(std::min(of.count, max_samples));
  return *std::max_element(of.last.begin(), end);
}

} // namespace boragedoor::dispatch
