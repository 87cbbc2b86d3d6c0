#include "requests/naive_crash_suspects.h"

namespace boragedoor::requests {

void naive_crash_suspects::record_crash(time_point /*now*/, const std::string& endpoint,
                                        const std::string& incarnation,
                                        std::span<const std::string> fingerprints) {
  for (const std::string& it : fingerprints) {
    crashes_[it].emplace(endpoint, incarnation);
  }
}

bool naive_crash_suspects::is_quarantined(const std::string& fingerprint) const {
  const auto it = crashes_.find(fingerprint);
  return it != crashes_.end() && it->second.size() >= 2;
}

} // namespace boragedoor::requests
