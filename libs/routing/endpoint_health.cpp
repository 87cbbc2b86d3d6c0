#include "routing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::routing {

namespace {

double weight_of(evidence it) {
  switch (it) {
  case evidence::success:
    return 0;
  case evidence::failure:
    return 1;
  case evidence::progress_timeout:
    return 2;
  case evidence::wrong_answer:
    return 3;
  case evidence::stale_report:
    return 0.5;
  }
  return 0;
}

// Share of the suspicion that a success leaves.
constexpr double success_factor = 0.8;
// What each successful request leaves of the earlier ones in an endpoint's pace.
constexpr double pace_memory = 0.9;

bool is_share(double value) {
  return value >= 0 && value <= 1;
}

double median(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

} // namespace

result<endpoint_health> endpoint_health::create(const health_options& options) {
  if (!is_share(options.largest_share) || !is_share(options.data_centre_share) ||
      !is_share(options.largest_data_centre_share)) {
    return error{error_code::invalid_argument, "health: shares must be within 0 and 1"};
  }
  if (options.threshold <= 0 || options.slow_factor <= 1 || options.slow_samples < 1 ||
      options.probation_successes < 1 || options.half_life <= duration::zero() ||
      options.first_set_aside <= duration::zero()) {
    return error{error_code::invalid_argument,
                 "health: thresholds, counts and times must be positive, slow_factor above 1"};
  }
  return endpoint_health(options);
}

void endpoint_health::add(std::string_view endpoint, std::string_view data_centre,
                          std::string_view pool) {
  judged& it = judged_[std::string(endpoint)];
  it.data_centre = data_centre;
  it.pool = pool;
}

void endpoint_health::remove(std::string_view endpoint) {
  if (const auto it = judged_.find(endpoint); it != judged_.end()) {
    judged_.erase(it);
  }
}

double endpoint_health::decayed(const judged& it, time_point now) const {
  const auto age = std::max(now - it.suspicion_at, duration::zero());
  const double lives =
      static_cast<double>(age.count()) / static_cast<double>(options_.half_life.count());
  return it.suspicion * std::exp2(-lives);
}

void endpoint_health::record(std::string_view endpoint, evidence it, time_point now) {
  const auto found = judged_.find(endpoint);
  if (found == judged_.end()) {
    return;
  }
  judged& known = found->second;
  known.suspicion = decayed(known, now);
  known.suspicion_at = now;
  if (it == evidence::success) {
    known.suspicion *= success_factor;
    known.good_in_a_row += 1;
    known.last_good = now;
    return;
  }
  known.suspicion += weight_of(it);
  known.good_in_a_row = 0;
  known.last_bad = now;
}

void endpoint_health::record_pace(std::string_view endpoint, duration took, double work,
                                  time_point /*now*/) {
  const auto found = judged_.find(endpoint);
  if (found == judged_.end() || !(work > 0) || took <= duration::zero()) {
    return;
  }
  judged& it = found->second;
  it.pace_seconds = it.pace_seconds * pace_memory + std::chrono::duration<double>(took).count();
  it.pace_work = it.pace_work * pace_memory + work;
  it.pace_samples += 1;
}

std::vector<health_change> endpoint_health::update(time_point now) {
  changes out;
  std::map<std::string_view, pool_members> pools;
  for (member& it : judged_) {
    advance(it, now, out);
    pools[it.second.pool].push_back(&it);
  }
  for (const auto& [name, pool] : pools) {
    compare_paces(pool);
    // First the data centres, so that their endpoints do not use up the places for small failures.
    fail_data_centres(pool, now, out);
    set_aside_suspects(pool, now, out);
  }
  return out;
}

void endpoint_health::move(member& it, health_state to, std::string_view reason, time_point now,
                           changes& out) const {
  judged& known = it.second;
  out.push_back({it.first, known.state, to, reason});
  if (to == health_state::set_aside) {
    const bool again = known.set_aside_for > duration::zero() &&
                       now - known.changed_at <= options_.probation_memory;
    known.set_aside_for = again ? std::min(known.set_aside_for * 2, options_.longest_set_aside)
                                : options_.first_set_aside;
  } else {
    // What led to the verdict is spent: only new evidence counts from here.
    known.suspicion = 0;
    known.good_in_a_row = 0;
    known.pace_seconds = 0;
    known.pace_work = 0;
    known.pace_samples = 0;
    known.relative_pace = 1;
    known.last_bad.reset();
  }
  known.by_data_centre = to == health_state::set_aside && reason == "data_centre";
  known.state = to;
  known.changed_at = now;
}

void endpoint_health::advance(member& it, time_point now, changes& out) const {
  judged& known = it.second;
  if (known.state == health_state::set_aside) {
    if (now - known.changed_at >= known.set_aside_for) {
      move(it, health_state::probation, "retry", now, out);
    }
  } else if (known.state == health_state::probation) {
    if (known.last_bad) {
      move(it, health_state::set_aside, "failures", now, out);
    } else if (known.good_in_a_row >= options_.probation_successes ||
               now - known.changed_at >= options_.longest_probation) {
      move(it, health_state::healthy, "recovered", now, out);
    }
  }
}

bool endpoint_health::is_slow(const judged& it) const {
  return it.pace_samples >= options_.slow_samples && it.relative_pace >= options_.slow_factor;
}

void endpoint_health::compare_paces(const pool_members& pool) const {
  std::vector<double> paces;
  for (const member* it : pool) {
    if (it->second.pace_samples >= options_.slow_samples) {
      paces.push_back(pace(it->second));
    }
  }
  // With fewer than three there is no telling which one is slow.
  if (paces.size() < 3) {
    return;
  }
  const double typical = median(paces);
  for (member* it : pool) {
    if (it->second.pace_samples >= options_.slow_samples) {
      it->second.relative_pace = pace(it->second) / typical;
    }
  }
}

bool endpoint_health::down_recently(const judged& it, time_point now) const {
  if (it.state == health_state::set_aside) {
    return now - it.changed_at <= options_.data_centre_window;
  }
  return it.last_bad && now - *it.last_bad <= options_.data_centre_window &&
         (!it.last_good || *it.last_good <= *it.last_bad);
}

std::size_t endpoint_health::places_left(const pool_members& pool, double share,
                                         bool data_centres_too) const {
  const auto size = static_cast<double>(pool.size());
  auto limit = static_cast<std::size_t>(std::floor(share * size));
  // A pool of two must still be able to lose the bad one, and a pool of one never empties.
  limit = std::clamp<std::size_t>(limit, pool.size() > 1 ? 1 : 0, pool.size() - 1);
  const auto aside = std::count_if(pool.begin(), pool.end(), [&](const member* it) {
    return it->second.state != health_state::healthy &&
           (data_centres_too || !it->second.by_data_centre);
  });
  return limit - std::min(limit, static_cast<std::size_t>(aside));
}

void endpoint_health::fail_data_centres(const pool_members& pool, time_point now,
                                        changes& out) const {
  std::map<std::string_view, pool_members> data_centres;
  for (member* it : pool) {
    data_centres[it->second.data_centre].push_back(it);
  }
  for (const auto& [name, members] : data_centres) {
    fail_data_centre(pool, members, now, out);
  }
}

void endpoint_health::fail_data_centre(const pool_members& pool, const pool_members& members,
                                       time_point now, changes& out) const {
  std::size_t down = 0;
  double suspicion = 0;
  for (const member* it : members) {
    down += down_recently(it->second, now) ? 1 : 0;
    suspicion += decayed(it->second, now);
  }
  const double share = static_cast<double>(down) / static_cast<double>(members.size());
  if (down < 2 || share < options_.data_centre_share || suspicion < options_.threshold) {
    return;
  }
  std::size_t places = places_left(pool, options_.largest_data_centre_share, true);
  for (member* it : members) {
    judged& known = it->second;
    if (known.state == health_state::set_aside) {
      known.by_data_centre = true;
    } else if (places > 0 && down_recently(known, now)) {
      move(*it, health_state::set_aside, "data_centre", now, out);
      places -= 1;
    }
  }
}

void endpoint_health::set_aside_suspects(const pool_members& pool, time_point now,
                                         changes& out) const {
  pool_members suspects;
  for (member* it : pool) {
    if (it->second.state == health_state::healthy &&
        (decayed(it->second, now) >= options_.threshold || is_slow(it->second))) {
      suspects.push_back(it);
    }
  }
  std::sort(suspects.begin(), suspects.end(), [&](const member* left, const member* right) {
    return decayed(left->second, now) > decayed(right->second, now);
  });
  const double widest = std::max(options_.largest_share, options_.largest_data_centre_share);
  const std::size_t places =
      std::min(places_left(pool, options_.largest_share, false), places_left(pool, widest, true));
  for (std::size_t i = 0; i < std::min(places, suspects.size()); ++i) {
    const bool slow = decayed(suspects[i]->second, now) < options_.threshold;
    move(*suspects[i], health_state::set_aside, slow ? "slow" : "failures", now, out);
  }
}

health_state endpoint_health::state(std::string_view endpoint) const {
  const auto it = judged_.find(endpoint);
  return it == judged_.end() ? health_state::healthy : it->second.state;
}

double endpoint_health::suspicion(std::string_view endpoint, time_point now) const {
  const auto it = judged_.find(endpoint);
  return it == judged_.end() ? 0 : decayed(it->second, now);
}

double endpoint_health::relative_pace(std::string_view endpoint) const {
  const auto it = judged_.find(endpoint);
  return it == judged_.end() ? 1 : it->second.relative_pace;
}

} // namespace boragedoor::routing
