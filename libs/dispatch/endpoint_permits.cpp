#include "dispatch/endpoint_permits.h"

#include <utility>

namespace boragedoor::dispatch {

namespace {

/// Time in which a permit may be used. It bounds how many requests the instances can save up and
/// send at once.
constexpr duration permit_lifetime = milliseconds(400);

} // namespace

void endpoint_permits::state(double per_second, time_point now) {
  per_second_ = per_second;
  stated_at_ = now;
}

bool endpoint_permits::has_permit(time_point now) const {
  return !expiries_.empty() && now < expiries_.back();
}

void endpoint_permits::use(time_point now) {
  std::erase_if(expiries_, [now](time_point expiry) { return expiry <= now; });
  if (!expiries_.empty()) {
    expiries_.erase(expiries_.begin());
  }
}

int endpoint_permits::take_wanted() {
  requested_ = true;
  return std::exchange(wanted_, 0);
}

void endpoint_permits::add(int granted, duration retry_after, time_point now) {
  requested_ = false;
  next_request_ = now + retry_after;
  expiries_.insert(expiries_.end(), static_cast<std::size_t>(std::max(granted, 0)),
                   now + permit_lifetime);
}

} // namespace boragedoor::dispatch
