#include "dispatch/service_endpoints.h"

#include <algorithm>
#include <utility>

namespace boragedoor::dispatch {

namespace {

/// Crashed endpoints come back within seconds, and a request sent to a dead one misses its target
/// latency. Two failures therefore eject an endpoint, and the first retry comes soon.
constexpr double ejection_threshold = 1.5;
constexpr duration base_ejection_time = seconds(1);
constexpr duration max_ejection_time = seconds(4);
constexpr duration suspicion_half_life = seconds(5);

/// Penalties and bonuses are fractions of an endpoint's capacity, added to its relative load.
/// Traffic between data centres is charged, but queueing in the own one costs the caller more.
constexpr double other_data_centre_penalty = 0.25;
/// Other-data-centre penalty for long-running requests, which take seconds in any case.
constexpr double remote_long_running_penalty = 0.02;
/// Penalty for an event interval of twice the shortest known one; scales linearly.
constexpr double slowness_penalty = 1.0;
/// Smoothing factor of the moving average of event intervals.
constexpr double interval_smoothing = 0.05;
/// Penalty of an endpoint that recently refused a request, and how long it applies. Loading weights
/// takes about a second; a full queue drains sooner.
constexpr double refusal_penalty = 1.0;
constexpr duration refusal_duration = milliseconds(200);
/// Penalty of an endpoint on probation: it gets one request at a time when the others are busy.
constexpr double probation_penalty = 0.6;
/// Penalty of an ejected endpoint: it is used only if no other is left.
constexpr double ejected_penalty = 100;
/// Deducted from the cost of the preferred endpoint.
constexpr double preferred_endpoint_bonus = 0.4;
/// Older load reports are ignored; only the own open requests count then.
constexpr duration max_report_age = milliseconds(700);

bool holds_weights(const endpoint_entry& entry, const endpoint_requirements& requirements) {
  if (requirements.model.empty()) {
    return true;
  }
  const auto held = entry.versions.find(requirements.model);
  return held != entry.versions.end() && held->second >= requirements.minimum_version;
}

} // namespace

service_endpoints::service_endpoints(std::string data_centre, routing::endpoint_health health)
    : data_centre_(std::move(data_centre)), health_(std::move(health)) {}

result<service_endpoints> service_endpoints::create(std::string data_centre) {
  routing::health_options options;
  options.suspicion_threshold = ejection_threshold;
  options.base_ejection_time = base_ejection_time;
  options.max_ejection_time = max_ejection_time;
  options.half_life = suspicion_half_life;
  auto health = routing::endpoint_health::create(options);
  if (!health) {
    return health.error();
  }
  return service_endpoints(std::move(data_centre), std::move(health).value());
}

void service_endpoints::put(const endpoint_entry& entry) {
  const std::string& id = entry.description.id;
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.process_start_ms != entry.process_start_ms) {
    // A new process under the same id: the load and health of the old one do not apply.
    remove(id);
  }
  if (!table_.put(entry.description)) {
    return;
  }
  health_.add(id, entry.description.data_centre, entry.description.pool);
  entries_[id] = entry;
}

void service_endpoints::remove(std::string_view id) {
  table_.remove(id);
  health_.remove(id);
  if (const auto it = event_intervals_.find(id); it != event_intervals_.end()) {
    event_intervals_.erase(it);
  }
  if (const auto it = refused_until_.find(id); it != refused_until_.end()) {
    refused_until_.erase(it);
  }
  if (const auto it = entries_.find(id); it != entries_.end()) {
    entries_.erase(it);
  }
}

const endpoint_entry* service_endpoints::find(std::string_view id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

bool service_endpoints::recently_refused(std::string_view id, time_point now) const {
  const auto it = refused_until_.find(id);
  return it != refused_until_.end() && now < it->second;
}

bool service_endpoints::has_free_slot(const endpoint_entry& entry, time_point now) const {
  const std::string& id = entry.description.id;
  return load_of(id, now) < entry.description.max_running && !recently_refused(id, now) &&
         health_.state(id) != routing::health_state::ejected;
}

double service_endpoints::shortest_interval() const {
  double shortest = 0;
  for (const auto& [id, value] : event_intervals_) {
    shortest = shortest == 0 ? value : std::min(shortest, value);
  }
  return shortest;
}

double service_endpoints::selection_cost(const endpoint_entry& entry,
                                         const endpoint_requirements& requirements,
                                         time_point now) const {
  const routing::endpoint& endpoint = entry.description;
  double cost = static_cast<double>(load_of(endpoint.id, now)) / endpoint.max_running;
  if (endpoint.data_centre != data_centre_) {
    cost += requirements.long_running ? remote_long_running_penalty : other_data_centre_penalty;
  }
  if (const auto interval = event_intervals_.find(endpoint.id);
      requirements.long_running && interval != event_intervals_.end()) {
    cost += slowness_penalty * (interval->second / shortest_interval() - 1);
  }
  cost -= endpoint.id == requirements.preferred_endpoint ? preferred_endpoint_bonus : 0;
  cost += recently_refused(endpoint.id, now) ? refusal_penalty : 0;
  switch (health_.state(endpoint.id)) {
  case routing::health_state::healthy:
    return cost;
  case routing::health_state::probation:
    return cost + probation_penalty;
  case routing::health_state::ejected:
    return cost + ejected_penalty;
  }
  return cost;
}

std::optional<chosen_endpoint> service_endpoints::choose(const endpoint_requirements& requirements,
                                                         time_point now,
                                                         random_engine& random) const {
  const routing::route_request asked{.pool = requirements.service,
                                     .excluded = requirements.excluded};
  const endpoint_entry* best = nullptr;
  double least = 0;
  int ties = 0;
  for (const auto& [id, it] : entries_) {
    if (!routing::meets_requirements(it.description, asked) || !holds_weights(it, requirements) ||
        (requirements.requires_free_slot && !has_free_slot(it, now))) {
      continue;
    }
    const double cost = selection_cost(it, requirements, now);
    // Ties are broken at random, so that instances do not all pick the same endpoint.
    if (best == nullptr || cost < least) {
      best = &it;
      least = cost;
      ties = 1;
    } else if (cost == least && std::uniform_int_distribution<int>(0, ties++)(random) == 0) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return chosen_endpoint{best->description.id, best->address};
}

int service_endpoints::load_of(std::string_view id, time_point now) const {
  const auto report = table_.last_report(id);
  return report && now - report->as_of <= max_report_age ? table_.outstanding(id)
                                                         : table_.own_open_requests(id);
}

void service_endpoints::note_sent(std::string_view id, time_point now) {
  table_.record_dispatch(id, now);
}

void service_endpoints::note_finished(std::string_view id,
                                      std::optional<routing::health_signal> outcome,
                                      time_point now) {
  table_.record_completion(id, now);
  if (outcome) {
    health_.record(id, *outcome, now);
    health_.update(now);
  }
}

void service_endpoints::note_latency(std::string_view id, duration latency, time_point now) {
  health_.record_latency(id, latency, 1, now);
}

void service_endpoints::note_event_interval(std::string_view id, double interval_seconds) {
  const auto [it, added] = event_intervals_.try_emplace(std::string(id), interval_seconds);
  if (!added) {
    it->second += interval_smoothing * (interval_seconds - it->second);
  }
}

std::optional<double> service_endpoints::event_interval(std::string_view id) const {
  const auto it = event_intervals_.find(id);
  return it == event_intervals_.end() ? std::nullopt : std::optional(it->second);
}

void service_endpoints::note_refused(std::string_view id, time_point now) {
  refused_until_[std::string(id)] = now + refusal_duration;
}

void service_endpoints::note_load(std::string_view id, int running, int waiting, time_point now) {
  table_.update_load(id, {now, running, waiting});
}

void service_endpoints::note_misdirected(std::string_view id) {
  table_.set_state(id, routing::endpoint_state::draining);
  if (const auto it = entries_.find(id); it != entries_.end()) {
    it->second.description.state = routing::endpoint_state::draining;
  }
}

void service_endpoints::note_version(std::string_view id, std::string_view model,
                                     std::uint64_t version) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  if (const auto held = it->second.versions.find(model); held != it->second.versions.end()) {
    held->second = std::max(held->second, version);
  }
}

void service_endpoints::tick(time_point now) {
  health_.update(now);
}

int service_endpoints::available_count(std::string_view service) const {
  return static_cast<int>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& it) {
    const routing::endpoint& endpoint = it.second.description;
    return endpoint.pool == service && endpoint.state == routing::endpoint_state::ready &&
           health_.state(it.first) != routing::health_state::ejected;
  }));
}

} // namespace boragedoor::dispatch
