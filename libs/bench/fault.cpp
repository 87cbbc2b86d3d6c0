#include "bench/fault.h"

namespace boragedoor::bench {

namespace {

constexpr int greedy_workspace = 5;
constexpr double straggler_share = 0.02;

bool add_fault(fault_plan& plan, std::string_view name, const deployment& where, duration length) {
  if (name == "data_centre_loss") {
    plan.events.emplace_back(data_centre_loss{where.data_centres[1], length / 4, length / 2});
  } else if (name == "cheap_reclaim") {
    // Three reclaims, each of another data centre where there are enough.
    for (std::size_t i = 0; i < 3; ++i) {
      const duration from = length * static_cast<duration::rep>(2 + 3 * i) / 10;
      const auto& data_centre = where.data_centres[i % where.data_centres.size()];
      plan.events.emplace_back(
          cheap_reclaim{.data_centre = data_centre, .from = from, .until = from + length / 5});
    }
  } else if (name == "slow_endpoint") {
    plan.events.emplace_back(
        slow_endpoint{.endpoint = "engine3", .from = length / 4, .until = length * 3 / 4});
  } else if (name == "stragglers") {
    plan.straggler_share = straggler_share;
  } else if (name == "greedy_workspace") {
    plan.greedy_workspace = greedy_workspace;
  } else {
    return name == "none";
  }
  return true;
}

} // namespace

result<fault_plan> parse_faults(std::string_view names, const deployment& where, duration length) {
  fault_plan plan;
  while (!names.empty()) {
    const std::string_view name = names.substr(0, names.find(','));
    if (!add_fault(plan, name, where, length)) {
      return error{error_code::invalid_argument,
                   "unknown fault '" + std::string(name) +
                       "'; use none, data_centre_loss, cheap_reclaim, slow_endpoint, stragglers "
                       "or greedy_workspace"};
    }
    names.remove_prefix(std::min(names.size(), name.size() + 1));
  }
  return plan;
}

} // namespace boragedoor::bench
