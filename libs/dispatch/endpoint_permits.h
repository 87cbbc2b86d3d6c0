#pragma once

#include <algorithm>
#include <vector>

#include "base/time.h"

namespace boragedoor::dispatch {

/// The limit of requests that one endpoint states, and the permits of this instance to send to it.
/// The permits come from the instance that keeps the endpoint's budget (see `permit_keeper`).
class endpoint_permits {
public:
  endpoint_permits(double per_second, time_point stated_at)
      : per_second_(per_second), stated_at_(stated_at) {}

  /// Records that the endpoint states the limit, in requests a second from all instances.
  void state(double per_second, time_point now);
  [[nodiscard]] double per_second() const { return per_second_; }
  /// When a response last stated the limit.
  [[nodiscard]] time_point stated_at() const { return stated_at_; }

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

  double per_second_ = 0;
  time_point stated_at_{};
  /// Expiry times of the permits, the earliest first.
  std::vector<time_point> expiries_;
  int wanted_ = 0;
  bool requested_ = false;
  time_point next_request_{};
};

} // namespace boragedoor::dispatch
