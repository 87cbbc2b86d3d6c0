#include "admission/fair_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace boragedoor::admission {

std::vector<double> max_min_shares(double capacity, std::span<const share_demand> demands) {
  std::vector<double> out(demands.size(), 0);
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto level = [&](std::size_t i) { return demands[i].demand / demands[i].weight; };
  std::sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) { return level(left) < level(right); });
  double weights = 0;
  for (const share_demand& it : demands) {
    weights += it.weight;
  }
  // Whoever wants least for its weight is satisfied first; the rest divide what remains.
  double left = std::max(0.0, capacity);
  for (const std::size_t i : order) {
    out[i] = std::min(demands[i].demand, left * demands[i].weight / weights);
    left -= out[i];
    weights -= demands[i].weight;
  }
  return out;
}

result<fair_share> fair_share::create(const fair_share_options& options) {
  if (options.memory <= duration::zero() || options.longest_estimate_age <= duration::zero()) {
    return error{error_code::invalid_argument, "fair share: times must be positive"};
  }
  return fair_share(options);
}

fair_share::account& fair_share::account_of(std::string_view workspace) {
  const auto it = accounts_.find(workspace);
  return it != accounts_.end() ? it->second
                               : accounts_.emplace(std::string(workspace), account{}).first->second;
}

double fair_share::decay(duration age) const {
  return std::exp(-static_cast<double>(std::max(age, duration::zero()).count()) /
                  static_cast<double>(options_.memory.count()));
}

void fair_share::set_weight(std::string_view workspace, double weight) {
  if (weight > 0) {
    account_of(workspace).weight = weight;
  }
}

void fair_share::record_use(std::string_view workspace, double tokens, time_point now) {
  account& it = account_of(workspace);
  it.use = std::max(0.0, it.use * decay(now - it.use_at) + tokens);
  it.use_at = now;
}

void fair_share::set_fleet_use(std::string_view workspace, double tokens, time_point now) {
  account& it = account_of(workspace);
  it.fleet = tokens;
  it.fleet_at = now;
  it.fleet_known = true;
}

double fair_share::local_use(std::string_view workspace, time_point now) const {
  const auto it = accounts_.find(workspace);
  return it == accounts_.end() ? 0 : it->second.use * decay(now - it->second.use_at);
}

double fair_share::served(std::string_view workspace, time_point now) const {
  const auto it = accounts_.find(workspace);
  if (it == accounts_.end()) {
    return 0;
  }
  const account& known = it->second;
  double use = known.use * decay(now - known.use_at);
  if (known.fleet_known && now - known.fleet_at <= options_.longest_estimate_age) {
    use += known.fleet * decay(now - known.fleet_at);
  }
  return use / known.weight;
}

double fair_share::weight(std::string_view workspace) const {
  const auto it = accounts_.find(workspace);
  return it == accounts_.end() ? 1 : it->second.weight;
}

std::string_view fair_share::worst_served(std::span<const std::string_view> workspaces,
                                          time_point now) const {
  std::string_view worst;
  double least = 0;
  for (const std::string_view it : workspaces) {
    const double use = served(it, now);
    if (worst.empty() || use < least) {
      worst = it;
      least = use;
    }
  }
  return worst;
}

} // namespace boragedoor::admission
