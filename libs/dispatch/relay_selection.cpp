#include "dispatch/relay_selection.h"

#include <algorithm>

namespace boragedoor::dispatch {

namespace {

/// Time for which a relay that failed is not used. Links are lost for seconds.
constexpr duration avoidance = seconds(3);

} // namespace

bool relay_selection::is_avoided(const endpoint_relay& it, time_point now) const {
  const auto failed = failed_at_.find(it.address);
  return failed != failed_at_.end() && now - failed->second < avoidance;
}

std::optional<net::address> relay_selection::choose(std::span<const net::address> tried,
                                                    time_point now, random_engine& random) {
  std::vector<const endpoint_relay*> near;
  std::vector<const endpoint_relay*> far;
  bool near_failed = false;
  for (const endpoint_relay& it : relays_) {
    if (is_avoided(it, now)) {
      near_failed = near_failed || it.near;
      continue;
    }
    if (std::find(tried.begin(), tried.end(), it.address) != tried.end()) {
      continue;
    }
    if (it.address == preferred_) {
      return preferred_;
    }
    (it.near ? near : far).push_back(&it);
  }
  const auto& first = near_failed ? far : near;
  const auto& chosen = first.empty() ? (near_failed ? near : far) : first;
  if (chosen.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> index(0, chosen.size() - 1);
  return chosen[index(random)]->address;
}

void relay_selection::note_failed(const net::address& relay, time_point now) {
  std::erase_if(failed_at_, [now](const auto& it) { return now - it.second >= avoidance; });
  failed_at_[relay] = now;
  if (preferred_ == relay) {
    preferred_.reset();
  }
}

} // namespace boragedoor::dispatch
