#include "dispatch/warm_up_budget.h"

#include <algorithm>

namespace boragedoor::dispatch {

namespace {

/// With a budget of x requests a second and a burst of x, one second has at most
///   x + 1.4 x        from the keeper: its burst, and the rate for a second, the lifetime of a
///                    permit (0.1 s) and the time to connect (0.3 s);
///   1 + 0.525 x      from a member that has just become the keeper and grants 3/8 of the rate;
///   1 + 0.525 x      from substitutes that are asked while the keeper does not answer.
/// See docs/design/cold-endpoints.md.
constexpr double single_permits = 2;
constexpr double budget_factor = 3.45;

/// Smallest budget, so that an endpoint with a tiny bound is used at all.
constexpr double min_rate = 0.25;
constexpr double min_burst = 1;

} // namespace

warm_up_budget warm_up_budget::for_bound(double bound) {
  const double share = (bound - single_permits) / budget_factor;
  return {.per_second = std::max(share, min_rate), .burst = std::max(share, min_burst)};
}

} // namespace boragedoor::dispatch
