#include "control/naive_control.h"

namespace boragedoor::control {

void naive_lease_holder::on_acquired(std::string_view shard, fencing_token token) {
  tokens_.insert_or_assign(std::string(shard), token);
}

void naive_lease_holder::on_loss_reported(std::string_view shard) {
  if (const auto it = tokens_.find(shard); it != tokens_.end()) {
    tokens_.erase(it);
  }
}

std::optional<lease_permit> naive_lease_holder::permit(std::string_view shard) const {
  const auto it = tokens_.find(shard);
  if (it == tokens_.end()) {
    return std::nullopt;
  }
  return lease_permit{it->second, time_point::max()};
}

} // namespace boragedoor::control
