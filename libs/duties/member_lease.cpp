#include "duties/member_lease.h"

#include <utility>

namespace boragedoor::duties {

lease_step member_lease::next_step(time_point now) {
  if (left_ || call_pending_ || now < next_call_) {
    return lease_step::none;
  }
  call_pending_ = true;
  if (lease_ == 0) {
    return lease_step::grant;
  }
  return entered_ ? lease_step::renew : lease_step::enter;
}

void member_lease::granted(std::uint64_t lease, duration ttl, time_point sent_at) {
  call_pending_ = false;
  next_call_ = sent_at;
  lease_ = lease;
  ttl_ = ttl;
  valid_until_ = sent_at + ttl - options_.safety_margin;
}

bool member_lease::entered(std::uint64_t lease, std::uint64_t revision, time_point now) {
  call_pending_ = false;
  if (left_ || lease == 0 || lease != lease_) {
    return false;
  }
  entered_ = true;
  entry_revision_ = revision;
  next_call_ = now + ttl_ / options_.renewals_per_ttl;
  return true;
}

void member_lease::renewed(std::uint64_t lease, time_point sent_at) {
  call_pending_ = false;
  if (lease != 0 && lease == lease_) {
    valid_until_ = sent_at + ttl_ - options_.safety_margin;
    next_call_ = sent_at + ttl_ / options_.renewals_per_ttl;
  }
}

void member_lease::failed(time_point now) {
  call_pending_ = false;
  next_call_ = now + options_.retry_delay;
}

void member_lease::lost(std::uint64_t lease, time_point now) {
  failed(now);
  if (lease == lease_) {
    lease_ = 0;
    entered_ = false;
  }
}

bool member_lease::drop_expired(time_point now) {
  if (lease_ == 0 || now < valid_until_ + options_.safety_margin) {
    return false;
  }
  // The entry may have been removed. A new lease creates a new entry, younger than the others.
  lease_ = 0;
  entered_ = false;
  return true;
}

void member_lease::write_entry_again(time_point now) {
  entered_ = false;
  next_call_ = now;
}

std::uint64_t member_lease::restart(time_point now) {
  entered_ = false;
  next_call_ = now;
  return std::exchange(lease_, 0);
}

std::uint64_t member_lease::leave() {
  left_ = true;
  entered_ = false;
  return std::exchange(lease_, 0);
}

} // namespace boragedoor::duties
