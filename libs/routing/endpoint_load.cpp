#include "routing/endpoint_load.h"

#include <algorithm>

namespace boragedoor::routing {

namespace {

// Dispatch and completion times kept while no report arrives. Above the limit the oldest of each is
// dropped, which keeps their difference: only that is used.
constexpr std::size_t max_tracked_times = 512;

void drop_until(std::deque<time_point>& times, time_point as_of) {
  while (!times.empty() && times.front() <= as_of) {
    times.pop_front();
  }
}

} // namespace

void endpoint_load::update(const load_report& report) {
  if (report_ && report_->as_of >= report.as_of) {
    return;
  }
  report_ = report;
  drop_until(started_, report.as_of);
  drop_until(finished_, report.as_of);
}

void endpoint_load::record_dispatch(time_point now) {
  own_open_requests_ += 1;
  started_.push_back(now);
  if (started_.size() > max_tracked_times && !finished_.empty()) {
    started_.pop_front();
    finished_.pop_front();
  }
}

bool endpoint_load::record_completion(time_point now) {
  if (own_open_requests_ == 0) {
    return false;
  }
  own_open_requests_ -= 1;
  finished_.push_back(now);
  return true;
}

int endpoint_load::own_net_since_report() const {
  return static_cast<int>(started_.size()) - static_cast<int>(finished_.size());
}

int endpoint_load::outstanding() const {
  const int n = report_ ? report_->running + report_->waiting + own_net_since_report() : 0;
  return std::max(n, own_open_requests_);
}

} // namespace boragedoor::routing
