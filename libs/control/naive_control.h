#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control/lease_types.h"

namespace boragedoor::control {

/// Baseline for differential tests: acts on a shard until it is told that the lease is lost, and
/// never checks a clock. A pause longer than the TTL leads to two holders.
class naive_lease_holder {
public:
  void on_acquired(std::string_view shard, fencing_token token);
  void on_loss_reported(std::string_view shard);
  [[nodiscard]] std::optional<lease_permit> permit(std::string_view shard) const;

private:
  std::map<std::string, fencing_token, std::less<>> tokens_;
};

/// Baseline for differential tests: treats the expiry of the lease as proof that the former holder
/// has stopped. This is wrong for a holder that is paused between its check and its send.
class expiry_only_takeover {
public:
  [[nodiscard]] bool is_cleared(time_point /*now*/) const { return true; }
};

} // namespace boragedoor::control
