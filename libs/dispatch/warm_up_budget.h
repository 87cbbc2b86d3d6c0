#pragma once

namespace boragedoor::dispatch {

/// Requests that all instances together may send to an endpoint that can be cold at any moment.
///
/// An endpoint learns that it is cold before the instances do, so the budget holds at all times.
struct warm_up_budget {
  /// Requests a second.
  double per_second = 0;
  /// Requests that may be sent at once after a pause.
  double burst = 0;

  /// Returns the budget with which an endpoint never gets more than `bound` requests in any second,
  /// also while two instances grant permits for it.
  static warm_up_budget for_bound(double bound);

  friend bool operator==(const warm_up_budget&, const warm_up_budget&) = default;
};

} // namespace boragedoor::dispatch
