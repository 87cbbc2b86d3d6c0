#include "dispatch/service_endpoints.h"

#include <algorithm>
#include <utility>

namespace boragedoor::dispatch {

namespace {

/// Endpoints crash and come back within seconds, and a request that meets a dead one loses its
/// target latency, so two failures set an endpoint aside, and the first return is soon.
constexpr double set_aside_threshold = 1.5;
constexpr duration first_set_aside = seconds(1);
constexpr duration longest_set_aside = seconds(4);
constexpr duration suspicion_half_life = seconds(5);

/// What distance adds to the load of an endpoint, in shares of its places. Traffic between data
/// centres is charged, but a request that queues in its own costs its caller more.
constexpr double other_data_centre_penalty = 0.25;
/// The same for requests that run for seconds.
constexpr double far_long_run_penalty = 0.02;
/// Cost of an event interval that is twice the shortest known one.
constexpr double slowness_penalty = 1.0;
/// Part of a new interval in the smoothed one.
constexpr double interval_weight = 0.05;
/// Cost of an endpoint that refused a request lately, and how long that counts: loads of weights
/// take about a second, full queues less.
constexpr double refusal_penalty = 1.0;
constexpr duration refusal_time = milliseconds(200);
/// Cost of an endpoint on probation: one request at a time goes there when others are busy.
constexpr double probation_penalty = 0.6;
/// Cost of one that is set aside: used when no other is left.
constexpr double set_aside_penalty = 100;
/// Advantage of the preferred endpoint.
constexpr double preference = 0.4;
/// Load reports older than this say nothing; the own open requests do.
constexpr duration report_lifetime = milliseconds(700);

bool holds_weights(const endpoint_entry& it, const endpoint_need& need) {
  if (need.model.empty()) {
    return true;
  }
  const auto held = it.versions.find(need.model);
  return held != it.versions.end() && held->second >= need.minimum_version;
}

} // namespace

service_endpoints::service_endpoints(std::string data_centre, routing::endpoint_health health)
    : data_centre_(std::move(data_centre)), health_(std::move(health)) {}

result<service_endpoints> service_endpoints::create(std::string data_centre) {
  routing::health_options options;
  options.suspicion_threshold = set_aside_threshold;
  options.base_ejection_time = first_set_aside;
  options.max_ejection_time = longest_set_aside;
  options.half_life = suspicion_half_life;
  auto health = routing::endpoint_health::create(options);
  if (!health) {
    return health.error();
  }
  return service_endpoints(std::move(data_centre), std::move(health).value());
}

void service_endpoints::put(const endpoint_entry& it) {
  const std::string& id = it.description.id;
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.born != it.born) {
    // A new process under the same id: its load, its health and its past are unknown.
    remove(id);
  }
  if (!table_.put(it.description)) {
    return;
  }
  health_.add(id, it.description.data_centre, it.description.pool);
  entries_[id] = it;
}

void service_endpoints::remove(std::string_view id) {
  table_.remove(id);
  health_.remove(id);
  if (const auto it = intervals_.find(id); it != intervals_.end()) {
    intervals_.erase(it);
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

bool service_endpoints::refused_lately(std::string_view id, time_point now) const {
  const auto it = refused_until_.find(id);
  return it != refused_until_.end() && now < it->second;
}

bool service_endpoints::has_free_place(const endpoint_entry& it, time_point now) const {
  const std::string& id = it.description.id;
  return load_of(id, now) < it.description.max_running && !refused_lately(id, now) &&
         health_.state(id) != routing::health_state::ejected;
}

double service_endpoints::fastest_interval() const {
  double fastest = 0;
  for (const auto& [id, value] : intervals_) {
    fastest = fastest == 0 ? value : std::min(fastest, value);
  }
  return fastest;
}

double service_endpoints::cost_of(const endpoint_entry& it, const endpoint_need& need,
                                  time_point now) const {
  const routing::endpoint& where = it.description;
  double cost = static_cast<double>(load_of(where.id, now)) / where.max_running;
  if (where.data_centre != data_centre_) {
    cost += need.long_running ? far_long_run_penalty : other_data_centre_penalty;
  }
  if (const auto interval = intervals_.find(where.id);
      need.long_running && interval != intervals_.end()) {
    cost += slowness_penalty * (interval->second / fastest_interval() - 1);
  }
  cost -= where.id == need.preferred ? preference : 0;
  cost += refused_lately(where.id, now) ? refusal_penalty : 0;
  switch (health_.state(where.id)) {
  case routing::health_state::healthy:
    return cost;
  case routing::health_state::probation:
    return cost + probation_penalty;
  case routing::health_state::ejected:
    return cost + set_aside_penalty;
  }
  return cost;
}

std::optional<chosen_endpoint> service_endpoints::choose(const endpoint_need& need, time_point now,
                                                         random_engine& random) const {
  const routing::route_request asked{.pool = need.service, .excluded = need.excluded};
  const endpoint_entry* best = nullptr;
  double least = 0;
  int ties = 0;
  for (const auto& [id, it] : entries_) {
    if (!routing::meets_requirements(it.description, asked) || !holds_weights(it, need) ||
        (need.needs_free_place && !has_free_place(it, now))) {
      continue;
    }
    const double cost = cost_of(it, need, now);
    // Among equals the choice is uniform, so that instances don't all pick the same one.
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
  return report && now - report->as_of <= report_lifetime ? table_.outstanding(id)
                                                          : table_.own_open_requests(id);
}

void service_endpoints::note_sent(std::string_view id, time_point now) {
  table_.record_dispatch(id, now);
}

void service_endpoints::note_finished(std::string_view id,
                                      std::optional<routing::health_signal> seen, time_point now) {
  table_.record_completion(id, now);
  if (seen) {
    health_.record(id, *seen, now);
    health_.update(now);
  }
}

void service_endpoints::note_latency(std::string_view id, duration latency, time_point now) {
  health_.record_latency(id, latency, 1, now);
}

void service_endpoints::note_event_interval(std::string_view id, double value) {
  const auto [it, added] = intervals_.try_emplace(std::string(id), value);
  if (!added) {
    it->second += interval_weight * (value - it->second);
  }
}

std::optional<double> service_endpoints::event_interval(std::string_view id) const {
  const auto it = intervals_.find(id);
  return it == intervals_.end() ? std::nullopt : std::optional(it->second);
}

void service_endpoints::note_refused(std::string_view id, time_point now) {
  refused_until_[std::string(id)] = now + refusal_time;
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

int service_endpoints::available(std::string_view service) const {
  return static_cast<int>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& it) {
    const routing::endpoint& where = it.second.description;
    return where.pool == service && where.state == routing::endpoint_state::ready &&
           health_.state(it.first) != routing::health_state::ejected;
  }));
}

} // namespace boragedoor::dispatch
