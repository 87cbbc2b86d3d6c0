#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "base/time.h"
#include "dispatch/warm_up_budget.h"

namespace boragedoor::dispatch {

/// The limit of the requests to one endpoint, and the permits of this instance to send to it. The
/// permits come from the instance that keeps the endpoint's budget (see `permit_keeper`).
///
/// The endpoint states a limit, or may be cold at any moment, or both; then the lower rate counts.
class endpoint_permits {
public:
  /// Records that the endpoint states the limit, in requests a second from all instances.
  void state(double per_second, time_point now);
  /// Records that the endpoint no longer states a limit.
  void end_statement() { stated_.reset(); }
  /// Returns the limit that the endpoint states.
  [[nodiscard]] const std::optional<double>& stated() const { return stated_; }
  /// When a response last stated the limit.
  [[nodiscard]] time_point stated_at() const { return stated_at_; }

  void set_warm_up(const std::optional<warm_up_budget>& budget) { warm_up_ = budget; }
  [[nodiscard]] bool has_warm_up() const { return warm_up_.has_value(); }

  /// Whether anything limits the requests.
  [[nodiscard]] bool is_limited() const { return stated_ || warm_up_; }
  /// Requests a second that all instances may send.
  [[nodiscard]] double per_second() const;
  /// Permits that the budget may save up.
  [[nodiscard]] double burst() const;

  [[nodiscard]] bool has_permit(time_point now) const;
  /// Uses up a permit, if there is one.
  void use(time_point now);

  /// Whether a request for permits may be sent at `now`.
  [[nodiscard]] bool may_request(time_point now) const {
    return !requested_ && now >= next_request_;
  }
  void want() { wanted_ = std::min(wanted_ + 1, max_wanted); }
  [[nodiscard]] int wanted() const { return wanted_; }
  /// Returns the number of wanted permits and records that they have been requested.
  int take_wanted();
  /// Records the outcome of a request. Permits can be requested again after `retry_after`.
  void add(int granted, duration retry_after, time_point now);
  /// Earliest time at which a further permit can arrive.
  [[nodiscard]] time_point expected_at(time_point now) const {
    return requested_ ? now : std::max(now, next_request_);
  }

private:
  static constexpr int max_wanted = 8;

  std::optional<double> stated_;
  time_point stated_at_{};
  std::optional<warm_up_budget> warm_up_;
  /// Expiry times of the permits, the earliest first.
  std::vector<time_point> expiries_;
  int wanted_ = 0;
  bool requested_ = false;
  time_point next_request_{};
};

} // namespace boragedoor::dispatch
