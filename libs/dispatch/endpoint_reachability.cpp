#include "dispatch/endpoint_reachability.h"

#include <algorithm>
#include <utility>

namespace boragedoor::dispatch {

bool endpoint_reachability::note_unconnected(const net::address& endpoint,
                                             std::size_t known_endpoints, time_point now) {
  std::erase_if(unconnected_,
                [&](const auto& it) { return now - it.second > options_.failure_retention; });
  unconnected_[endpoint] = now;
  const std::size_t needed = std::clamp<std::size_t>(known_endpoints, 1, options_.min_unconnected);
  return unconnected_.size() >= needed && !std::exchange(cut_off_, true);
}

bool endpoint_reachability::note_connected() {
  unconnected_.clear();
  return std::exchange(cut_off_, false);
}

} // namespace boragedoor::dispatch
