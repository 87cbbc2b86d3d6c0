#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "base/time.h"

namespace boragedoor::requests {

/// The baseline: whatever ran at two crashes is quarantined, on this instance only, and suspects
/// run anywhere.
class naive_crash_suspects {
public:
  void record_crash(time_point now, const std::string& endpoint, const std::string& incarnation,
                    std::span<const std::string> fingerprints);
  [[nodiscard]] bool quarantined(const std::string& fingerprint) const;

private:
  /// Endpoint and incarnation of each crash.
  std::map<std::string, std::set<std::pair<std::string, std::string>>> crashes_;
};

} // namespace boragedoor::requests
