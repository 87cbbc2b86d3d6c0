#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace boragedoor::routing {

/// The load that an endpoint reported.
struct load_report {
  /// Local monotonic time of the measurement: receipt time minus the report's age.
  time_point as_of;
  /// Requests in the running batch, and requests queued for it.
  int running = 0;
  int waiting = 0;
};

/// The load of one endpoint: its last report, and the requests that this instance dispatched and
/// completed since then.
class endpoint_load {
public:
  /// Stores a report unless one of the same or a later time is known.
  void update(const load_report& report);
  void record_dispatch(time_point now);
  /// Returns false if no request is open, for example because the endpoint was removed and added
  /// again since the request was sent.
  bool record_completion(time_point now);

  [[nodiscard]] const std::optional<load_report>& last_report() const { return report_; }
  /// Estimated requests on the endpoint: the last report, plus this instance's dispatches and minus
  /// its completions since then, but at least this instance's own open requests.
  [[nodiscard]] int outstanding() const;
  /// Open requests that this instance dispatched.
  [[nodiscard]] int own_open_requests() const { return own_open_requests_; }
  /// This instance's dispatches minus its completions since the last report.
  [[nodiscard]] int own_net_since_report() const;

private:
  std::optional<load_report> report_;
  int own_open_requests_ = 0;
  std::deque<time_point> started_;
  std::deque<time_point> finished_;
};

} // namespace boragedoor::routing
