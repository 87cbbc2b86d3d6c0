#include "dispatch/endpoint_permits.h"

#include <utility>

namespace boragedoor::dispatch {

namespace {

/// Time in which a permit may be used. It bounds how many requests the instances can save up and
/// send at once.
constexpr duration permit_lifetime = milliseconds(400);
/// The same for endpoints that may be cold: their bound counts by the second.
constexpr duration warm_up_permit_lifetime = milliseconds(100);
/// Permits that the budget of an endpoint that states a limit saves up while nobody asks.
constexpr double stated_burst = 2;

} // namespace

void endpoint_permits::state(double per_second, time_point now) {
  stated_ = per_second;
  stated_at_ = now;
}

double endpoint_permits::per_second() const {
  if (stated_ && warm_up_) {
    return std::min(*stated_, warm_up_->per_second);
  }
  return warm_up_ ? warm_up_->per_second : stated_.value_or(0);
}

double endpoint_permits::burst() const {
  if (stated_ && warm_up_) {
    return std::min(stated_burst, warm_up_->burst);
  }
  return warm_up_ ? warm_up_->burst : stated_burst;
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
                   now + (warm_up_ ? warm_up_permit_lifetime : permit_lifetime));
}

} // namespace boragedoor::dispatch
