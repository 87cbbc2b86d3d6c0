#include "scaling/endpoint_scaler.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::scaling {

namespace {

// Keeps counts that are whole but for rounding from being rounded up.
constexpr double rounding = 1e-9;

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

bool is_share(double value) {
  return value >= 0 && value <= 1;
}

bool is_valid(const scaler_options& it) {
  return is_share(it.target_use) && it.target_use > 0 && is_share(it.shrink_band) &&
         is_share(it.cheap_fill) && is_share(it.reclaim_share) && is_share(it.fallback_share) &&
         it.outage_growth >= 0 && it.level_time > duration{} && it.trend_time > duration{};
}

bool is_valid(const pool_plan& it) {
  return !it.data_centres.empty() && it.concurrency > 0 &&
         std::all_of(it.data_centres.begin(), it.data_centres.end(), [](const auto& bounds) {
           return bounds.minimum >= 0 && bounds.minimum <= bounds.maximum &&
                  bounds.cheap_maximum >= 0;
         });
}

// Weight of a measurement over `passed` in a mean with the time constant.
double weight(duration passed, duration constant) {
  return 1 - std::exp(-to_seconds(passed) / to_seconds(constant));
}

} // namespace

endpoint_scaler::endpoint_scaler(const scaler_options& options, const pool_plan& plan)
    : options_(options), plan_(plan) {
  for (const data_centre_bounds& it : plan.data_centres) {
    places_.push_back(place{.bounds = it});
  }
}

result<endpoint_scaler> endpoint_scaler::create(const scaler_options& options,
                                                const pool_plan& plan) {
  if (!is_valid(options) || !is_valid(plan)) {
    return error{error_code::invalid_argument,
                 "scaler of pool '" + plan.pool +
                     "': shares must be within 0 and 1, times positive, data centres given, and "
                     "minimum at most maximum"};
  }
  return endpoint_scaler(options, plan);
}

void endpoint_scaler::cheap_unavailable(std::string_view data_centre, time_point now) {
  for (place& it : places_) {
    if (it.bounds.data_centre == data_centre) {
      it.cheap_missing = true;
      it.cheap_retry_at = now + options_.cheap_retry;
    }
  }
}

void endpoint_scaler::take_supply(std::span<const data_centre_supply> supply) {
  for (const data_centre_supply& given : supply) {
    for (place& it : places_) {
      if (it.bounds.data_centre != given.data_centre) {
        continue;
      }
      it.lost = given.lost;
      it.supply = given.lost ? counts{} : counts{given.standard, given.cheap};
    }
  }
}

void endpoint_scaler::take_use(const pool_use& use, time_point now) {
  if (!known_) {
    known_ = true;
    started_ = now;
    level_ = use.requests;
    harmless_ = use.harmless_share;
  } else if (now > measured_) {
    const duration passed = now - measured_;
    const double before = level_;
    const double level_weight = weight(passed, options_.level_time);
    level_ += level_weight * (use.requests - level_);
    harmless_ += level_weight * (use.harmless_share - harmless_);
    const double slope = (level_ - before) / to_seconds(passed);
    trend_ += weight(passed, options_.trend_time) * (slope - trend_);
  }
  measured_ = now;
  wanted_ = endpoints_for(forecast());
}

double endpoint_scaler::forecast() const {
  // A new endpoint serves after its start-up, and the mean lags by its time constant. A falling
  // trend is left to the delay that every decrease has.
  return level_ + std::max(0.0, trend_) * to_seconds(plan_.start_up + options_.level_time);
}

int endpoint_scaler::endpoints_for(double requests) const {
  return static_cast<int>(
      std::ceil(requests / (plan_.concurrency * options_.target_use) - rounding));
}

void endpoint_scaler::settle(time_point now) {
  peaks_.push_back({now, forecast()});
  while (now - peaks_.front().at > options_.shrink_delay) {
    peaks_.pop_front();
  }
  const double highest =
      std::max_element(peaks_.begin(), peaks_.end(), [](const peak& left, const peak& right) {
        return left.requests < right.requests;
      })->requests;
  // The band applies to requests: among small counts, each step is more than the band, and one
  // endpoint would come and go with the noise.
  const int enough = endpoints_for(highest * (1 + options_.shrink_band));
  if (wanted_ > settled_) {
    settled_ = wanted_;
  } else if (now - started_ >= options_.shrink_delay && enough < settled_) {
    settled_ = enough;
  }
}

int endpoint_scaler::total() const {
  int least = 0;
  int most = 0;
  for (const place& it : places_) {
    least += it.lost ? 0 : it.bounds.minimum;
    most += it.lost ? 0 : it.bounds.maximum;
  }
  return std::clamp(settled_, least, most);
}

int endpoint_scaler::ordered() const {
  int out = 0;
  for (const place& it : places_) {
    out += std::max(0, it.ordered.standard) + std::max(0, it.ordered.cheap);
  }
  return out;
}

int endpoint_scaler::cheap_bound(const place& it, int total) const {
  const int per_reclaim = std::max(1, static_cast<int>(options_.reclaim_share * total + rounding));
  return it.lost ? 0
                 : std::min({per_reclaim, it.bounds.cheap_maximum,
                             it.bounds.maximum - it.bounds.minimum});
}

int endpoint_scaler::cheap_limit(const place& it, int total, time_point now) const {
  if (it.cheap_missing) {
    return now < it.cheap_retry_at ? 0 : std::min(1, cheap_bound(it, total));
  }
  return cheap_bound(it, total);
}

void endpoint_scaler::spread_cheap(int total, time_point now) {
  int minimum = 0;
  int possible = 0;
  for (place& it : places_) {
    it.cheap_missing = it.cheap_missing && it.supply.cheap == 0;
    minimum += it.lost ? 0 : it.bounds.minimum;
    possible += cheap_bound(it, total);
    it.wanted = counts{};
  }
  // Grows below a part of the harmless use and shrinks when it exceeds all of it, so that noise in
  // the measured share orders nothing.
  const int filled = static_cast<int>(harmless_ * options_.cheap_fill * total + rounding);
  const int harmless = static_cast<int>(harmless_ * total + rounding);
  cheap_ = cheap_ > harmless ? filled : std::max(cheap_, filled);
  cheap_ = std::min({cheap_, total - minimum, possible});
  for (int n = 0; n < cheap_; ++n) {
    place* next = nullptr;
    for (place& it : places_) {
      if (it.wanted.cheap < cheap_limit(it, total, now) &&
          (next == nullptr || it.wanted.cheap < next->wanted.cheap)) {
        next = &it;
      }
    }
    if (next == nullptr) {
      return;
    }
    next->wanted.cheap += 1;
  }
}

int endpoint_scaler::fallback(time_point now) {
  int supplied = 0;
  for (const place& it : places_) {
    supplied += std::min(it.supply.cheap, it.wanted.cheap);
  }
  if (supplied >= cheap_) {
    cheap_short_ = false;
    return 0;
  }
  if (!cheap_short_) {
    cheap_short_ = true;
    cheap_short_since_ = now;
  }
  if (now - cheap_short_since_ < std::max(options_.fallback_delay, plan_.start_up)) {
    return 0;
  }
  return static_cast<int>(std::ceil((cheap_ - supplied) * options_.fallback_share - rounding));
}

void endpoint_scaler::spread_standard(int count) {
  for (place& it : places_) {
    it.wanted.standard = it.lost ? 0 : it.bounds.minimum;
    count -= it.wanted.standard;
  }
  for (; count > 0; --count) {
    place* next = nullptr;
    for (place& it : places_) {
      const bool room = !it.lost && it.wanted.standard + it.wanted.cheap < it.bounds.maximum;
      if (room && (next == nullptr || it.wanted.standard + it.wanted.cheap <
                                          next->wanted.standard + next->wanted.cheap)) {
        next = &it;
      }
    }
    if (next == nullptr) {
      return;
    }
    next->wanted.standard += 1;
  }
}

void endpoint_scaler::change(place& it, capacity_tier tier, bool store_down,
                             std::vector<endpoint_order>& out) {
  const bool standard = tier == capacity_tier::standard;
  int& ordered = standard ? it.ordered.standard : it.ordered.cheap;
  int wanted = standard ? it.wanted.standard : it.wanted.cheap;
  if (store_down && ordered >= 0) {
    const int other = std::max(0, standard ? it.ordered.cheap : it.ordered.standard);
    const int room = std::min(outage_left_, it.bounds.maximum - other - ordered);
    wanted = std::clamp(wanted, ordered, ordered + std::max(0, room));
    outage_left_ -= wanted - ordered;
  }
  if (wanted != ordered) {
    ordered = wanted;
    out.push_back({it.bounds.data_centre, plan_.pool, tier, wanted});
  }
}

std::vector<endpoint_order> endpoint_scaler::decide(const pool_use& use, time_point now) {
  take_supply(use.supply);
  take_use(use, now);
  settle(now);
  if (use.store_down && !outage_) {
    outage_left_ = std::max(1, static_cast<int>(std::ceil(options_.outage_growth * ordered())));
  }
  outage_ = use.store_down;
  const int all = total();
  spread_cheap(all, now);
  spread_standard(all - cheap_ + fallback(now));
  std::vector<endpoint_order> out;
  for (place& it : places_) {
    // Orders for a lost data centre would not be answered; the last ones stand.
    if (!it.lost) {
      change(it, capacity_tier::standard, use.store_down, out);
      change(it, capacity_tier::cheap, use.store_down, out);
    }
  }
  return out;
}

} // namespace boragedoor::scaling
