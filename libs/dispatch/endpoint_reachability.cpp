#include "dispatch/endpoint_reachability.h"

#include <algorithm>
#include <set>
#include <utility>

namespace boragedoor::dispatch {

void endpoint_reachability::forget_old_failures(time_point now) {
  std::erase_if(unconnected_,
                [&](const auto& it) { return now - it.second > options_.failure_retention; });
}

void endpoint_reachability::note_unconnected(const net::address& endpoint, time_point now) {
  forget_old_failures(now);
  unconnected_[endpoint] = now;
}

bool endpoint_reachability::note_connected() {
  unconnected_.clear();
  connected_ = true;
  return std::exchange(cut_off_, false);
}

std::vector<net::address> endpoint_reachability::begin_probes(std::vector<probe_candidate> known,
                                                              std::size_t count, time_point now,
                                                              random_engine& random) {
  forget_old_failures(now);
  connected_ = false;
  known_endpoints_ = known.size();
  std::shuffle(known.begin(), known.end(), random);
  std::stable_partition(known.begin(), known.end(),
                        [&](const auto& it) { return !unconnected_.contains(it.address); });
  std::vector<net::address> first_of_service;
  std::vector<net::address> chosen;
  std::set<std::string_view> services;
  for (const probe_candidate& it : known) {
    (services.insert(it.service).second ? first_of_service : chosen).push_back(it.address);
  }
  chosen.insert(chosen.begin(), first_of_service.begin(), first_of_service.end());
  chosen.resize(std::min(count, chosen.size()));
  return chosen;
}

bool endpoint_reachability::end_probes(time_point now) {
  forget_old_failures(now);
  const std::size_t needed = std::clamp<std::size_t>(known_endpoints_, 1, options_.min_unconnected);
  return !connected_ && unconnected_.size() >= needed && !std::exchange(cut_off_, true);
}

} // namespace boragedoor::dispatch
