#pragma once

#include <optional>

#include "base/result.h"
#include "base/time.h"
#include "dispatch/service_configuration.h"

namespace boragedoor::dispatch {

/// What is known about a request when it arrives or is about to be sent.
struct request_outlook {
  route_kind kind = route_kind::idempotent;
  /// When the request gets its response at the latest.
  time_point deadline{};
  /// How long such requests usually take.
  duration usual_duration{};
};

/// Times of an ordered stop, and the requests that a stopping process still takes.
///
/// A supervisor kills the process a grace period after it told it to stop. A request is taken only
/// if it is answered before that, so that no connection ends without a response: certainly, because
/// its caller waits no longer, or by the time that such requests take. The second is not enough for
/// a late request that must not be sent twice, because its caller cannot repeat it after an
/// interruption.
class stop_schedule {
public:
  /// Fails with `invalid_argument` if there is no time to stop.
  static result<stop_schedule> create(duration grace_period);

  /// Starts the stop. Later calls change nothing: the grace period counts from the first signal.
  void begin(time_point now);
  [[nodiscard]] bool has_begun() const { return begun_at_.has_value(); }
  /// Time since the stop began; zero before it.
  [[nodiscard]] duration elapsed(time_point now) const;

  /// Whether a request may be started now.
  [[nodiscard]] bool may_start(const request_outlook& request, time_point now) const;
  /// Whether requests that still have no response must be answered now.
  [[nodiscard]] bool must_answer(time_point now) const;
  /// Whether the process must end now.
  [[nodiscard]] bool must_end(time_point now) const;

private:
  explicit stop_schedule(duration grace_period) : grace_period_(grace_period) {}

  duration grace_period_;
  std::optional<time_point> begun_at_;
};

} // namespace boragedoor::dispatch
