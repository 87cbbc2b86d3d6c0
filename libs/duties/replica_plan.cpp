#include "duties/replica_plan.h"

#include <algorithm>
#include <utility>

namespace boragedoor::duties {

namespace {

/// Part of a new interval between versions in the smoothed one.
constexpr int smoothing = 4;

} // namespace

void replica_plan::note_demand(int open_items, time_point now) {
  demands_.push_back({now, open_items});
  while (now - demands_.front().at > options_.shrink_delay) {
    demands_.pop_front();
  }
}

void replica_plan::note_version(std::string_view model, time_point now) {
  const auto [it, added] = named_.try_emplace(std::string(model), now);
  if (added) {
    return;
  }
  const duration passed = now - std::exchange(it->second, now);
  interval_ = interval_ == duration::zero() ? passed : interval_ + (passed - interval_) / smoothing;
}

int replica_plan::engines_kept_fresh(int loads_at_once) const {
  const duration interval = interval_ == duration::zero() ? options_.version_interval : interval_;
  // Each load keeps an engine of use to one model for two versions of it.
  return 2 * static_cast<int>(loads_at_once * interval / options_.load_time);
}

std::vector<replica_order> replica_plan::wanted(const replica_bounds& of, int loads_at_once) {
  int items = 0;
  for (const demand& it : demands_) {
    items = std::max(items, it.items);
  }
  int present = 0;
  for (const auto& [data_centre, n] : of.present) {
    present += n;
  }
  int& most_present = most_present_[of.service];
  most_present = std::max(most_present, present);
  const int needed = std::min((items + of.places - 1) / of.places,
                              std::max(most_present, engines_kept_fresh(loads_at_once)));
  std::vector<replica_order> list;
  int left = needed;
  int centres = static_cast<int>(of.present.size());
  for (const auto& [data_centre, n] : of.present) {
    const int share = (left + centres - 1) / centres;
    left -= share;
    --centres;
    list.push_back({of.service, data_centre, std::clamp(share, of.least, of.most)});
  }
  return list;
}

std::vector<replica_order> replica_plan::decide(const std::vector<replica_bounds>& services,
                                                int loads_at_once, time_point now) {
  std::vector<replica_order> orders;
  if (demands_.empty()) {
    return orders;
  }
  for (const replica_bounds& of : services) {
    for (replica_order& it : wanted(of, loads_at_once)) {
      const auto present = of.present.find(it.data_centre);
      const auto [last, first] =
          placed_.try_emplace({it.service, it.data_centre}, placed{present->second, now});
      const bool fewer = it.count < last->second.count;
      const bool missing = present->second < it.count && it.count == last->second.count &&
                           now - last->second.since >= options_.repeat_after;
      if (fewer && now - demands_.front().at < options_.shrink_delay / 2) {
        // Too little has been seen to order fewer.
        continue;
      }
      if (it.count != last->second.count || missing) {
        last->second = {it.count, now};
        orders.push_back(std::move(it));
      }
    }
  }
  return orders;
}

void replica_plan::failed(const replica_order& it) {
  placed_.erase({it.service, it.data_centre});
}

} // namespace boragedoor::duties
