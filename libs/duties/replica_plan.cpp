#include "duties/replica_plan.h"

#include <algorithm>
#include <utility>

namespace boragedoor::duties {

namespace {

/// A new version interval has a weight of 1/`smoothing_divisor` in the moving average.
constexpr int smoothing_divisor = 4;

} // namespace

void replica_plan::record_demand(int open_items, time_point now) {
  demands_.push_back({now, open_items});
  while (now - demands_.front().time > options_.shrink_delay) {
    demands_.pop_front();
  }
}

void replica_plan::record_version(std::string_view model, time_point now) {
  const auto [it, added] = last_versions_.try_emplace(std::string(model), now);
  if (added) {
    return;
  }
  const duration passed = now - std::exchange(it->second, now);
  version_interval_ = version_interval_ == duration::zero()
                          ? passed
                          : version_interval_ + (passed - version_interval_) / smoothing_divisor;
}

int replica_plan::max_fresh_engines(int max_concurrent_loads) const {
  const duration interval =
      version_interval_ == duration::zero() ? options_.version_interval : version_interval_;
  // Each load keeps an engine usable for two versions of a model.
  return 2 * static_cast<int>(max_concurrent_loads * interval / options_.load_time);
}

std::vector<replica_order> replica_plan::target_counts(const replica_bounds& bounds,
                                                       int max_concurrent_loads) {
  int items = 0;
  for (const demand& it : demands_) {
    items = std::max(items, it.items);
  }
  int present = 0;
  for (const auto& [data_centre, n] : bounds.present) {
    present += n;
  }
  int& peak_present = peak_present_[bounds.service];
  peak_present = std::max(peak_present, present);
  const int target = std::min((items + bounds.slots_per_replica - 1) / bounds.slots_per_replica,
                              std::max(peak_present, max_fresh_engines(max_concurrent_loads)));
  std::vector<replica_order> list;
  int remaining = target;
  int centres = static_cast<int>(bounds.present.size());
  for (const auto& [data_centre, n] : bounds.present) {
    const int share = (remaining + centres - 1) / centres;
    remaining -= share;
    --centres;
    list.push_back(
        {bounds.service, data_centre, std::clamp(share, bounds.min_replicas, bounds.max_replicas)});
  }
  return list;
}

std::vector<replica_order> replica_plan::decide(const std::vector<replica_bounds>& services,
                                                int max_concurrent_loads, time_point now) {
  std::vector<replica_order> orders;
  if (demands_.empty()) {
    return orders;
  }
  for (const replica_bounds& bounds : services) {
    for (replica_order& it : target_counts(bounds, max_concurrent_loads)) {
      const auto present = bounds.present.find(it.data_centre);
      const auto [last, added] =
          sent_orders_.try_emplace({it.service, it.data_centre}, sent_order{present->second, now});
      const bool fewer = it.count < last->second.count;
      const bool missing = present->second < it.count && it.count == last->second.count &&
                           now - last->second.since >= options_.repeat_delay;
      if (fewer && now - demands_.front().time < options_.shrink_delay / 2) {
        // The observed time is too short to order fewer engines.
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
  sent_orders_.erase({it.service, it.data_centre});
}

} // namespace boragedoor::duties
