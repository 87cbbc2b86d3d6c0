#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control/lease_types.h"

namespace boragedoor::control {

/// Baseline for differential tests: acts as long as nobody told it that the lease is gone, and
/// never looks at a clock. A pause longer than the TTL makes two holders.
class naive_lease_holder {
public:
  void on_acquired(std::string_view shard, fencing_token token);
  void on_told_lost(std::string_view shard);
  [[nodiscard]] std::optional<lease_permit> permit(std::string_view shard) const;

private:
  std::map<std::string, fencing_token, std::less<>> tokens_;
};

/// Baseline for differential tests: takes the expiry of the lease for proof that the former holder
/// has stopped. A holder paused between its check and its send breaks it.
class expiry_only_takeover {
public:
  [[nodiscard]] bool is_cleared(time_point /*now*/) const { return true; }
};

} // namespace boragedoor::control
