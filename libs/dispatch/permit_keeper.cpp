#include "dispatch/permit_keeper.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::dispatch {

namespace {

/// Permits of a new budget, and the most that a substitute saves up for an endpoint that may be
/// cold.
constexpr double initial_permits = 1;
/// Lowest rate, in requests a second, so that the end of a limit of zero is noticed.
constexpr double min_rate = 0.25;
/// Share of the second member, and the ratio between the shares of further ones and those before.
constexpr double substitute_share = 0.375;
constexpr double share_ratio = 0.25;
/// Share of an instance that knows no member.
constexpr double alone_share = 0.1;
/// Budgets that nobody asked for within this time are forgotten.
constexpr duration retention = seconds(30);

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

double permit_share(std::optional<std::size_t> rank) {
  if (!rank) {
    return alone_share;
  }
  return *rank == 0 ? 1 : substitute_share * std::pow(share_ratio, static_cast<double>(*rank) - 1);
}

permit_grant permit_keeper::grant(const permit_request& request, double share, time_point now,
                                  bool settled) {
  const double max_saved =
      request.warm_up && share < 1 ? initial_permits : std::max(request.burst, initial_permits);
  // What an earlier keeper granted just before is not known.
  const auto [position, added] = budgets_.try_emplace(
      request.endpoint, budget{.per_second = request.per_second,
                               .stated_at = {},
                               .available = settled ? max_saved : initial_permits,
                               .updated_at = now});
  budget& it = position->second;
  if (const time_point stated_at = now - request.age; added || stated_at >= it.stated_at) {
    it.per_second = request.per_second;
    it.stated_at = stated_at;
  }
  const double rate = std::max(it.per_second * share, min_rate);
  it.available = std::min(max_saved, it.available + rate * to_seconds(now - it.updated_at));
  it.updated_at = now;
  const int granted = std::clamp(static_cast<int>(it.available), 0, std::max(request.count, 0));
  it.available -= granted;
  const double missing = std::max(0.0, 1 - it.available);
  return {granted,
          std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / rate))};
}

void permit_keeper::expire(time_point now) {
  std::erase_if(budgets_,
                [now](const auto& entry) { return now - entry.second.updated_at >= retention; });
}

} // namespace boragedoor::dispatch
