#include "scaling/endpoint_scaler.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::scaling {

namespace {

// Keeps floating-point error from changing the result when a count is rounded to an integer.
constexpr double rounding_tolerance = 1e-9;

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

bool is_share(double value) {
  return value >= 0 && value <= 1;
}

bool is_valid(const scaler_options& it) {
  return is_share(it.target_utilization) && it.target_utilization > 0 &&
         is_share(it.scale_down_margin) && is_share(it.cheap_fill_share) &&
         is_share(it.max_reclaim_share) && is_share(it.fallback_share) &&
         it.max_outage_growth >= 0 && it.demand_time_constant > duration{} &&
         it.trend_time_constant > duration{};
}

bool is_valid(const pool_plan& it) {
  return !it.data_centres.empty() && it.concurrency > 0 &&
         std::all_of(it.data_centres.begin(), it.data_centres.end(), [](const auto& bounds) {
           return bounds.minimum >= 0 && bounds.minimum <= bounds.maximum &&
                  bounds.cheap_maximum >= 0;
         });
}

// Weight of a measurement over the elapsed time in an exponentially weighted mean.
double smoothing_weight(duration elapsed, duration time_constant) {
  return 1 - std::exp(-to_seconds(elapsed) / to_seconds(time_constant));
}

} // namespace

endpoint_scaler::endpoint_scaler(const scaler_options& options, const pool_plan& plan)
    : options_(options), plan_(plan) {
  for (const data_centre_bounds& it : plan.data_centres) {
    data_centres_.push_back(data_centre_state{.bounds = it});
  }
}

result<endpoint_scaler> endpoint_scaler::create(const scaler_options& options,
                                                const pool_plan& plan) {
  if (!is_valid(options) || !is_valid(plan)) {
    return error{
        error_code::invalid_argument,
        "scaler of pool '" + plan.pool +
            "': shares must be within 0 and 1, times positive, data centres not empty, and "
            "minimum at most maximum"};
  }
  return endpoint_scaler(options, plan);
}

void endpoint_scaler::cheap_unavailable(std::string_view data_centre, time_point now) {
  for (data_centre_state& it : data_centres_) {
    if (it.bounds.data_centre == data_centre) {
      it.cheap_missing = true;
      it.cheap_retry_at = now + options_.cheap_retry_delay;
    }
  }
}

void endpoint_scaler::update_supply(std::span<const data_centre_supply> supply) {
  for (const data_centre_supply& reported : supply) {
    for (data_centre_state& it : data_centres_) {
      if (it.bounds.data_centre != reported.data_centre) {
        continue;
      }
      it.lost = reported.lost;
      it.supply = reported.lost ? counts{} : counts{reported.standard, reported.cheap};
    }
  }
}

void endpoint_scaler::update_demand(const pool_usage& usage, time_point now) {
  if (!has_measurement_) {
    has_measurement_ = true;
    started_ = now;
    demand_ = usage.requests;
    interruptible_share_ = usage.interruptible_share;
  } else if (now > last_measured_) {
    const duration elapsed = now - last_measured_;
    const double before = demand_;
    const double demand_weight = smoothing_weight(elapsed, options_.demand_time_constant);
    demand_ += demand_weight * (usage.requests - demand_);
    interruptible_share_ += demand_weight * (usage.interruptible_share - interruptible_share_);
    const double slope = (demand_ - before) / to_seconds(elapsed);
    demand_trend_ +=
        smoothing_weight(elapsed, options_.trend_time_constant) * (slope - demand_trend_);
  }
  last_measured_ = now;
  desired_ = endpoints_for(forecast());
}

double endpoint_scaler::forecast() const {
  // Looks ahead by the startup time of a new endpoint and the lag of the smoothed mean. A falling
  // trend is ignored, since scaling down is delayed anyway.
  return demand_ + std::max(0.0, demand_trend_) *
                       to_seconds(plan_.startup_time + options_.demand_time_constant);
}

int endpoint_scaler::endpoints_for(double requests) const {
  return static_cast<int>(
      std::ceil(requests / (plan_.concurrency * options_.target_utilization) - rounding_tolerance));
}

void endpoint_scaler::stabilize(time_point now) {
  forecasts_.push_back({now, forecast()});
  while (now - forecasts_.front().at > options_.scale_down_delay) {
    forecasts_.pop_front();
  }
  const double highest =
      std::max_element(forecasts_.begin(), forecasts_.end(),
                       [](const forecast_sample& left, const forecast_sample& right) {
                         return left.requests < right.requests;
                       })
          ->requests;
  // The margin applies to requests instead of endpoints: in a small pool each endpoint is more than
  // the margin, so that noise would add and remove one endpoint again and again.
  const int scaled_down = endpoints_for(highest * (1 + options_.scale_down_margin));
  if (desired_ > stabilized_) {
    stabilized_ = desired_;
  } else if (now - started_ >= options_.scale_down_delay && scaled_down < stabilized_) {
    stabilized_ = scaled_down;
  }
}

int endpoint_scaler::desired_total() const {
  int min_total = 0;
  int max_total = 0;
  for (const data_centre_state& it : data_centres_) {
    min_total += it.lost ? 0 : it.bounds.minimum;
    max_total += it.lost ? 0 : it.bounds.maximum;
  }
  return std::clamp(stabilized_, min_total, max_total);
}

int endpoint_scaler::total_ordered() const {
  int out = 0;
  for (const data_centre_state& it : data_centres_) {
    out += std::max(0, it.ordered.standard) + std::max(0, it.ordered.cheap);
  }
  return out;
}

int endpoint_scaler::max_cheap(const data_centre_state& it, int desired_total) const {
  const int per_reclaim = std::max(
      1, static_cast<int>(options_.max_reclaim_share * desired_total + rounding_tolerance));
  return it.lost ? 0
                 : std::min({per_reclaim, it.bounds.cheap_maximum,
                             it.bounds.maximum - it.bounds.minimum});
}

int endpoint_scaler::orderable_cheap(const data_centre_state& it, int desired_total,
                                     time_point now) const {
  if (it.cheap_missing) {
    return now < it.cheap_retry_at ? 0 : std::min(1, max_cheap(it, desired_total));
  }
  return max_cheap(it, desired_total);
}

void endpoint_scaler::distribute_cheap(int desired_total, time_point now) {
  int minimum = 0;
  int possible = 0;
  for (data_centre_state& it : data_centres_) {
    it.cheap_missing = it.cheap_missing && it.supply.cheap == 0;
    minimum += it.lost ? 0 : it.bounds.minimum;
    possible += max_cheap(it, desired_total);
    it.desired = counts{};
  }
  // Grows to `cheap_fill_share` of the interruptible demand, but shrinks only when it exceeds all
  // of that demand, so that noise in the measured share does not change orders.
  const int cheap_target = static_cast<int>(
      interruptible_share_ * options_.cheap_fill_share * desired_total + rounding_tolerance);
  const int interruptible =
      static_cast<int>(interruptible_share_ * desired_total + rounding_tolerance);
  desired_cheap_ =
      desired_cheap_ > interruptible ? cheap_target : std::max(desired_cheap_, cheap_target);
  desired_cheap_ = std::min({desired_cheap_, desired_total - minimum, possible});
  for (int n = 0; n < desired_cheap_; ++n) {
    data_centre_state* next = nullptr;
    for (data_centre_state& it : data_centres_) {
      if (it.desired.cheap < orderable_cheap(it, desired_total, now) &&
          (next == nullptr || it.desired.cheap < next->desired.cheap)) {
        next = &it;
      }
    }
    if (next == nullptr) {
      return;
    }
    next->desired.cheap += 1;
  }
}

int endpoint_scaler::fallback(time_point now) {
  int cheap_supplied = 0;
  for (const data_centre_state& it : data_centres_) {
    cheap_supplied += std::min(it.supply.cheap, it.desired.cheap);
  }
  if (cheap_supplied >= desired_cheap_) {
    cheap_short_ = false;
    return 0;
  }
  if (!cheap_short_) {
    cheap_short_ = true;
    cheap_short_since_ = now;
  }
  if (now - cheap_short_since_ < std::max(options_.fallback_delay, plan_.startup_time)) {
    return 0;
  }
  return static_cast<int>(
      std::ceil((desired_cheap_ - cheap_supplied) * options_.fallback_share - rounding_tolerance));
}

void endpoint_scaler::distribute_standard(int count) {
  for (data_centre_state& it : data_centres_) {
    it.desired.standard = it.lost ? 0 : it.bounds.minimum;
    count -= it.desired.standard;
  }
  for (; count > 0; --count) {
    data_centre_state* next = nullptr;
    for (data_centre_state& it : data_centres_) {
      const bool headroom = !it.lost && it.desired.standard + it.desired.cheap < it.bounds.maximum;
      if (headroom && (next == nullptr || it.desired.standard + it.desired.cheap <
                                              next->desired.standard + next->desired.cheap)) {
        next = &it;
      }
    }
    if (next == nullptr) {
      return;
    }
    next->desired.standard += 1;
  }
}

void endpoint_scaler::update_order(data_centre_state& it, capacity_tier tier, bool store_down,
                                   std::vector<endpoint_order>& out) {
  const bool standard = tier == capacity_tier::standard;
  int& ordered = standard ? it.ordered.standard : it.ordered.cheap;
  int desired = standard ? it.desired.standard : it.desired.cheap;
  if (store_down && ordered >= 0) {
    const int other = std::max(0, standard ? it.ordered.cheap : it.ordered.standard);
    const int headroom = std::min(outage_growth_left_, it.bounds.maximum - other - ordered);
    desired = std::clamp(desired, ordered, ordered + std::max(0, headroom));
    outage_growth_left_ -= desired - ordered;
  }
  if (desired != ordered) {
    ordered = desired;
    out.push_back({it.bounds.data_centre, plan_.pool, tier, desired});
  }
}

std::vector<endpoint_order> endpoint_scaler::decide(const pool_usage& usage, time_point now) {
  update_supply(usage.supply);
  update_demand(usage, now);
  stabilize(now);
  if (usage.store_down && !store_outage_) {
    outage_growth_left_ =
        std::max(1, static_cast<int>(std::ceil(options_.max_outage_growth * total_ordered())));
  }
  store_outage_ = usage.store_down;
  const int all = desired_total();
  distribute_cheap(all, now);
  distribute_standard(all - desired_cheap_ + fallback(now));
  std::vector<endpoint_order> out;
  for (data_centre_state& it : data_centres_) {
    // A failed data centre does not answer orders, so its last ones stay in effect.
    if (!it.lost) {
      update_order(it, capacity_tier::standard, usage.store_down, out);
      update_order(it, capacity_tier::cheap, usage.store_down, out);
    }
  }
  return out;
}

} // namespace boragedoor::scaling
