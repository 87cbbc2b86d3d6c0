#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "base/time.h"

namespace boragedoor::requests {

/// Baseline for comparison: quarantines every request that was running at two crashes, on this
/// instance only, and does not restrict where suspects run.
class naive_crash_suspects {
public:
  void record_crash(time_point now, const std::string& endpoint, const std::string& incarnation,
                    std::span<const std::string> fingerprints);
  [[nodiscard]] bool is_quarantined(const std::string& fingerprint) const;

private:
  /// Endpoint id and incarnation of each crash, by request fingerprint.
  std::map<std::string, std::set<std::pair<std::string, std::string>>> crashes_;
};

} // namespace boragedoor::requests
