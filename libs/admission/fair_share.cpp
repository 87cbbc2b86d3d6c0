#include "admission/fair_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace boragedoor::admission {

std::vector<double> max_min_shares(double capacity, std::span<const share_demand> demands) {
  std::vector<double> shares(demands.size(), 0);
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto demand_per_weight = [&](std::size_t i) {
    return demands[i].demand / demands[i].weight;
  };
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return demand_per_weight(left) < demand_per_weight(right);
  });
  double remaining_weight = 0;
  for (const share_demand& it : demands) {
    remaining_weight += it.weight;
  }
  // The lowest demand relative to its weight is met first; the others divide the remaining
  // capacity.
  double remaining = std::max(0.0, capacity);
  for (const std::size_t i : order) {
    shares[i] = std::min(demands[i].demand, remaining * demands[i].weight / remaining_weight);
    remaining -= shares[i];
    remaining_weight -= demands[i].weight;
  }
  return shares;
}

result<fair_share> fair_share::create(const fair_share_options& options) {
  if (options.decay_time_constant <= duration::zero() ||
      options.max_estimate_age <= duration::zero()) {
    return error{error_code::invalid_argument,
                 "fair share: decay_time_constant and max_estimate_age must be positive"};
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
                  static_cast<double>(options_.decay_time_constant.count()));
}

void fair_share::set_weight(std::string_view workspace, double weight) {
  if (weight > 0) {
    account_of(workspace).weight = weight;
  }
}

void fair_share::record_usage(std::string_view workspace, double tokens, time_point now) {
  account& it = account_of(workspace);
  it.usage = std::max(0.0, it.usage * decay(now - it.usage_updated) + tokens);
  it.usage_updated = now;
}

void fair_share::set_fleet_usage(std::string_view workspace, double tokens, time_point now) {
  account& it = account_of(workspace);
  it.fleet_usage = tokens;
  it.fleet_usage_updated = now;
  it.has_fleet_usage = true;
}

double fair_share::local_usage(std::string_view workspace, time_point now) const {
  const auto it = accounts_.find(workspace);
  return it == accounts_.end() ? 0 : it->second.usage * decay(now - it->second.usage_updated);
}

double fair_share::normalized_usage(std::string_view workspace, time_point now) const {
  const auto it = accounts_.find(workspace);
  if (it == accounts_.end()) {
    return 0;
  }
  const account& found = it->second;
  double usage = found.usage * decay(now - found.usage_updated);
  if (found.has_fleet_usage && now - found.fleet_usage_updated <= options_.max_estimate_age) {
    usage += found.fleet_usage * decay(now - found.fleet_usage_updated);
  }
  return usage / found.weight;
}

double fair_share::weight(std::string_view workspace) const {
  const auto it = accounts_.find(workspace);
  return it == accounts_.end() ? 1 : it->second.weight;
}

std::string_view fair_share::least_served_workspace(std::span<const std::string_view> workspaces,
                                                    time_point now) const {
  std::string_view least_served;
  double lowest_usage = 0;
  for (const std::string_view it : workspaces) {
    const double usage = normalized_usage(it, now);
    if (least_served.empty() || usage < lowest_usage) {
      least_served = it;
      lowest_usage = usage;
    }
  }
  return least_served;
}

} // namespace boragedoor::admission
