#include "instance/store_path.h"

#include <algorithm>
#include <utility>

namespace boragedoor::instance {

store_path::store_path(net::address store, const store_path_options& options)
    : store_(std::move(store)), options_(options) {}

void store_path::set_relays(std::vector<net::address> relays) {
  relays_ = std::move(relays);
  if (relay_ && std::find(relays_.begin(), relays_.end(), *relay_) == relays_.end()) {
    relay_.reset();
  }
}

const net::address& store_path::target() const {
  return relay_ ? *relay_ : store_;
}

std::optional<net::address> store_path::next_after(const net::address& failed_address) const {
  if (relays_.empty()) {
    return std::nullopt;
  }
  const auto it = std::find(relays_.begin(), relays_.end(), failed_address);
  if (it == relays_.end()) {
    return relays_.front();
  }
  // Each relay in turn, then the direct path again.
  return it + 1 == relays_.end() ? store_ : *(it + 1);
}

bool store_path::try_start_call(time_point now) {
  if (failures_ < options_.failures_before_pause) {
    return true;
  }
  if (now < next_paused_call_) {
    return false;
  }
  next_paused_call_ = now + options_.paused_call_interval;
  return true;
}

bool store_path::report_failure(const net::address& address, time_point now) {
  if (address != target()) {
    // A late result for an address that is no longer the target.
    return false;
  }
  ++failures_;
  // Failures of relays do not postpone the probe: they may come more often than it.
  if (address == store_ && !std::exchange(direct_failed_, true)) {
    next_probe_ = now + options_.probe_interval;
  }
  const auto next = next_after(address);
  if (!next) {
    return false;
  }
  if (*next == store_) {
    relay_.reset();
  } else {
    relay_ = *next;
  }
  return true;
}

bool store_path::report_success(const net::address& address) {
  failures_ = 0;
  if (address != store_) {
    return false;
  }
  relay_.reset();
  return std::exchange(direct_failed_, false);
}

bool store_path::try_start_probe(time_point now) {
  if (!direct_failed_ || now < next_probe_) {
    return false;
  }
  next_probe_ = now + options_.probe_interval;
  return true;
}

} // namespace boragedoor::instance
