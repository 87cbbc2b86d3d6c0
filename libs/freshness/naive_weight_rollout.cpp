#include "freshness/naive_weight_rollout.h"

namespace boragedoor::freshness {

bool naive_weight_rollout::announce(std::string_view model, std::uint64_t version,
                                    time_point /*now*/) {
  std::uint64_t& newest = newest_[std::string(model)];
  if (version <= newest) {
    return false;
  }
  newest = version;
  return true;
}

void naive_weight_rollout::put(const engine_view& it) {
  engine& known = engines_[it.id];
  known.view = it;
  if (it.version >= known.loading) {
    known.loading = 0;
  }
}

void naive_weight_rollout::remove(std::string_view id) {
  if (const auto it = engines_.find(id); it != engines_.end()) {
    engines_.erase(it);
  }
}

void naive_weight_rollout::swap_finished(std::string_view id, std::uint64_t version) {
  if (const auto it = engines_.find(id); it != engines_.end()) {
    it->second.loading = 0;
    it->second.view.version = version;
  }
}

void naive_weight_rollout::swap_failed(std::string_view id, time_point /*now*/,
                                       random_engine& /*random*/) {
  if (const auto it = engines_.find(id); it != engines_.end()) {
    it->second.loading = 0;
  }
}

std::vector<rollout_action> naive_weight_rollout::decide(time_point /*now*/,
                                                         random_engine& /*random*/) {
  std::vector<rollout_action> out;
  for (auto& [id, it] : engines_) {
    const auto target = newest_.find(it.view.model);
    if (target != newest_.end() && it.view.ready && it.loading == 0 &&
        it.view.version < target->second) {
      it.loading = target->second;
      out.emplace_back(swap_order{id, it.view.model, target->second});
    }
  }
  return out;
}

} // namespace boragedoor::freshness
