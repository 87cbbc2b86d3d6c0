#pragma once

#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::standin {

/// All usage reports that the intake received. Pure.
class usage_state {
public:
  /// Keeps a report. Fails with `invalid_argument` when a field is missing.
  result<void> receive(const json& report, wall_time now);

  /// `{"reports":[...],"conflicts":[{"window","shard","reports":[report ids]}]}`. A conflict is a
  /// window and shard that was reported with different figures.
  [[nodiscard]] json list() const;

private:
  std::vector<json> reports_;
};

} // namespace boragedoor::standin
