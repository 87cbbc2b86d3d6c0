#include "routing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::routing {

namespace {

double suspicion_weight(health_signal signal) {
  switch (signal) {
  case health_signal::success:
    return 0;
  case health_signal::failure:
    return 1;
  case health_signal::progress_timeout:
    return 2;
  case health_signal::invalid_response:
    return 3;
  case health_signal::stale_report:
    return 0.5;
  }
  return 0;
}

// Factor on the suspicion for each success.
constexpr double success_decay = 0.8;
// Factor on an endpoint's latency sums for each new sample.
constexpr double latency_decay = 0.9;

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
  if (!is_share(options.max_ejected_share) || !is_share(options.data_centre_failure_share) ||
      !is_share(options.max_data_centre_ejected_share)) {
    return error{error_code::invalid_argument, "health: shares must be within 0 and 1"};
  }
  if (options.suspicion_threshold <= 0 || options.slow_factor <= 1 ||
      options.min_latency_samples < 1 || options.min_probation_successes < 1 ||
      options.half_life <= duration::zero() || options.base_ejection_time <= duration::zero()) {
    return error{error_code::invalid_argument,
                 "health: thresholds, counts and times must be positive, slow_factor above 1"};
  }
  return endpoint_health(options);
}

void endpoint_health::add(std::string_view endpoint, std::string_view data_centre,
                          std::string_view pool) {
  endpoint_record& it = records_[std::string(endpoint)];
  it.data_centre = data_centre;
  it.pool = pool;
}

void endpoint_health::remove(std::string_view endpoint) {
  if (const auto it = records_.find(endpoint); it != records_.end()) {
    records_.erase(it);
  }
}

double endpoint_health::decayed_suspicion(const endpoint_record& it, time_point now) const {
  const auto age = std::max(now - it.suspicion_at, duration::zero());
  const double half_lives =
      static_cast<double>(age.count()) / static_cast<double>(options_.half_life.count());
  return it.suspicion * std::exp2(-half_lives);
}

void endpoint_health::record(std::string_view endpoint, health_signal signal, time_point now) {
  const auto found = records_.find(endpoint);
  if (found == records_.end()) {
    return;
  }
  endpoint_record& known = found->second;
  known.suspicion = decayed_suspicion(known, now);
  known.suspicion_at = now;
  if (signal == health_signal::success) {
    known.suspicion *= success_decay;
    known.consecutive_successes += 1;
    known.last_success = now;
    return;
  }
  known.suspicion += suspicion_weight(signal);
  known.consecutive_successes = 0;
  known.last_failure = now;
}

void endpoint_health::record_latency(std::string_view endpoint, duration took, double work,
                                     time_point /*now*/) {
  const auto found = records_.find(endpoint);
  if (found == records_.end() || !(work > 0) || took <= duration::zero()) {
    return;
  }
  endpoint_record& it = found->second;
  it.latency_seconds =
      it.latency_seconds * latency_decay + std::chrono::duration<double>(took).count();
  it.latency_work = it.latency_work * latency_decay + work;
  it.latency_samples += 1;
}

std::vector<health_change> endpoint_health::update(time_point now) {
  changes out;
  std::map<std::string_view, pool_entries> pools;
  for (record_entry& it : records_) {
    advance_state(it, now, out);
    pools[it.second.pool].push_back(&it);
  }
  for (const auto& [name, pool] : pools) {
    compare_latencies(pool);
    // Data centres come first, so that their endpoints do not use up the ejections that are allowed
    // for independent failures.
    eject_failed_data_centres(pool, now, out);
    eject_suspects(pool, now, out);
  }
  return out;
}

void endpoint_health::transition(record_entry& it, health_state to, std::string_view reason,
                                 time_point now, changes& out) const {
  endpoint_record& known = it.second;
  out.push_back({it.first, known.state, to, reason});
  if (to == health_state::ejected) {
    const bool again = known.ejection_time > duration::zero() &&
                       now - known.state_changed_at <= options_.ejection_backoff_window;
    known.ejection_time = again ? std::min(known.ejection_time * 2, options_.max_ejection_time)
                                : options_.base_ejection_time;
  } else {
    // Only signals after this transition count towards the next one.
    known.suspicion = 0;
    known.consecutive_successes = 0;
    known.latency_seconds = 0;
    known.latency_work = 0;
    known.latency_samples = 0;
    known.relative_latency = 1;
    known.last_failure.reset();
  }
  known.ejected_with_data_centre = to == health_state::ejected && reason == "data_centre";
  known.state = to;
  known.state_changed_at = now;
}

void endpoint_health::advance_state(record_entry& it, time_point now, changes& out) const {
  endpoint_record& known = it.second;
  if (known.state == health_state::ejected) {
    if (now - known.state_changed_at >= known.ejection_time) {
      transition(it, health_state::probation, "retry", now, out);
    }
  } else if (known.state == health_state::probation) {
    if (known.last_failure) {
      transition(it, health_state::ejected, "failures", now, out);
    } else if (known.consecutive_successes >= options_.min_probation_successes ||
               now - known.state_changed_at >= options_.max_probation_time) {
      transition(it, health_state::healthy, "recovered", now, out);
    }
  }
}

bool endpoint_health::is_slow(const endpoint_record& it) const {
  return it.latency_samples >= options_.min_latency_samples &&
         it.relative_latency >= options_.slow_factor;
}

void endpoint_health::compare_latencies(const pool_entries& pool) const {
  std::vector<double> latencies;
  for (const record_entry* it : pool) {
    if (it->second.latency_samples >= options_.min_latency_samples) {
      latencies.push_back(latency_per_unit(it->second));
    }
  }
  // With fewer than three samples the median does not show which endpoint is slow.
  if (latencies.size() < 3) {
    return;
  }
  const double pool_median = median(latencies);
  for (record_entry* it : pool) {
    if (it->second.latency_samples >= options_.min_latency_samples) {
      it->second.relative_latency = latency_per_unit(it->second) / pool_median;
    }
  }
}

bool endpoint_health::failed_recently(const endpoint_record& it, time_point now) const {
  if (it.state == health_state::ejected) {
    return now - it.state_changed_at <= options_.data_centre_failure_window;
  }
  return it.last_failure && now - *it.last_failure <= options_.data_centre_failure_window &&
         (!it.last_success || *it.last_success <= *it.last_failure);
}

std::size_t endpoint_health::remaining_ejections(const pool_entries& pool, double share,
                                                 bool include_data_centres) const {
  const auto size = static_cast<double>(pool.size());
  auto limit = static_cast<std::size_t>(std::floor(share * size));
  // A pool of two may always eject one endpoint; a pool of one never ejects its only endpoint.
  limit = std::clamp<std::size_t>(limit, pool.size() > 1 ? 1 : 0, pool.size() - 1);
  const auto unhealthy_count = std::count_if(pool.begin(), pool.end(), [&](const record_entry* it) {
    return it->second.state != health_state::healthy &&
           (include_data_centres || !it->second.ejected_with_data_centre);
  });
  return limit - std::min(limit, static_cast<std::size_t>(unhealthy_count));
}

void endpoint_health::eject_failed_data_centres(const pool_entries& pool, time_point now,
                                                changes& out) const {
  std::map<std::string_view, pool_entries> data_centres;
  for (record_entry* it : pool) {
    data_centres[it->second.data_centre].push_back(it);
  }
  for (const auto& [name, members] : data_centres) {
    eject_failed_data_centre(pool, members, now, out);
  }
}

void endpoint_health::eject_failed_data_centre(const pool_entries& pool,
                                               const pool_entries& members, time_point now,
                                               changes& out) const {
  std::size_t down = 0;
  double suspicion = 0;
  for (const record_entry* it : members) {
    down += failed_recently(it->second, now) ? 1 : 0;
    suspicion += decayed_suspicion(it->second, now);
  }
  const double share = static_cast<double>(down) / static_cast<double>(members.size());
  if (down < 2 || share < options_.data_centre_failure_share ||
      suspicion < options_.suspicion_threshold) {
    return;
  }
  std::size_t remaining = remaining_ejections(pool, options_.max_data_centre_ejected_share, true);
  for (record_entry* it : members) {
    endpoint_record& known = it->second;
    if (known.state == health_state::ejected) {
      known.ejected_with_data_centre = true;
    } else if (remaining > 0 && failed_recently(known, now)) {
      transition(*it, health_state::ejected, "data_centre", now, out);
      remaining -= 1;
    }
  }
}

void endpoint_health::eject_suspects(const pool_entries& pool, time_point now, changes& out) const {
  pool_entries suspects;
  for (record_entry* it : pool) {
    if (it->second.state == health_state::healthy &&
        (decayed_suspicion(it->second, now) >= options_.suspicion_threshold ||
         is_slow(it->second))) {
      suspects.push_back(it);
    }
  }
  std::sort(suspects.begin(), suspects.end(),
            [&](const record_entry* left, const record_entry* right) {
              return decayed_suspicion(left->second, now) > decayed_suspicion(right->second, now);
            });
  const double max_share =
      std::max(options_.max_ejected_share, options_.max_data_centre_ejected_share);
  const std::size_t remaining =
      std::min(remaining_ejections(pool, options_.max_ejected_share, false),
               remaining_ejections(pool, max_share, true));
  for (std::size_t i = 0; i < std::min(remaining, suspects.size()); ++i) {
    const bool slow = decayed_suspicion(suspects[i]->second, now) < options_.suspicion_threshold;
    transition(*suspects[i], health_state::ejected, slow ? "slow" : "failures", now, out);
  }
}

health_state endpoint_health::state(std::string_view endpoint) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? health_state::healthy : it->second.state;
}

double endpoint_health::suspicion(std::string_view endpoint, time_point now) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? 0 : decayed_suspicion(it->second, now);
}

double endpoint_health::relative_latency(std::string_view endpoint) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? 1 : it->second.relative_latency;
}

} // namespace boragedoor::routing
