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

std::optional<net::address> store_path::other_than(const net::address& failed) const {
  if (relays_.empty()) {
    return std::nullopt;
  }
  const auto it = std::find(relays_.begin(), relays_.end(), failed);
  if (it == relays_.end()) {
    return relays_.front();
  }
  // The relays in turn; after the last one the direct way.
  return it + 1 == relays_.end() ? store_ : *(it + 1);
}

bool store_path::failed(const net::address& way, time_point now) {
  if (way != target()) {
    // An answer of an earlier way.
    return false;
  }
  const auto next = other_than(way);
  if (!next) {
    return false;
  }
  if (*next == store_) {
    relay_.reset();
  } else {
    relay_ = *next;
  }
  next_probe_ = now + options_.probe_interval;
  return true;
}

void store_path::succeeded(const net::address& way) {
  if (way == store_) {
    relay_.reset();
  }
}

bool store_path::take_probe(time_point now) {
  if (!relay_ || now < next_probe_) {
    return false;
  }
  next_probe_ = now + options_.probe_interval;
  return true;
}

} // namespace boragedoor::instance
