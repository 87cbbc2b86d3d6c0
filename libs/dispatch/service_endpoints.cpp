#include "dispatch/service_endpoints.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

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
/// Health is updated after a failure, which walks all endpoints. With more endpoints than this
/// number, that happens at most once in a time that grows with their number.
constexpr std::size_t max_endpoints_updated_at_once = 200;
constexpr duration health_interval_per_endpoint = microseconds(5);
/// Older load reports are ignored; only the own open requests count then.
constexpr duration max_report_age = milliseconds(700);

/// Numbers of leaving processes and of former endpoints from which those without an entry are
/// forgotten.
constexpr std::size_t max_leaving_processes = 4096;
constexpr std::size_t max_former_endpoints = 4096;

bool holds_weights(const endpoint_entry& entry, const endpoint_requirements& requirements) {
  if (requirements.model.empty()) {
    return true;
  }
  const auto held = entry.versions.find(requirements.model);
  return held != entry.versions.end() && held->second >= requirements.minimum_version;
}

} // namespace

/// Compares the endpoints that are offered to it and keeps the one with the lowest cost.
class service_endpoints::selection {
public:
  selection(const service_endpoints& owner, const endpoint_requirements& requirements,
            time_point now, random_engine& random)
      : owner_(owner), requirements_(requirements), now_(now), random_(random) {}

  void offer(tracked_endpoint& it) {
    if (!is_suitable(it, requirements_, now_)) {
      return;
    }
    ++compared_;
    const double cost = owner_.selection_cost(it, requirements_, now_);
    const bool needs_permit = !requirements_.is_estimate || (it.limit && it.limit->stated());
    if (needs_permit && lacks_permit(it, now_)) {
      if (it.limit->may_request(now_)) {
        const double wanted = it.limit->wanted();
        lacking_.emplace_back(cost + wanted / it.entry.description.max_running, &it);
      }
      return;
    }
    // Ties are broken at random, so that instances do not all pick the same endpoint.
    if (best_ == nullptr || cost < lowest_cost_) {
      best_ = &it;
      lowest_cost_ = cost;
      ties_ = 1;
    } else if (cost == lowest_cost_ &&
               std::uniform_int_distribution<int>(0, ties_++)(random_) == 0) {
      best_ = &it;
    }
  }
  [[nodiscard]] bool is_full() const { return compared_ >= max_candidates; }
  [[nodiscard]] const tracked_endpoint* best() const { return best_; }
  /// The endpoints that would have been chosen with a permit, one for each waiting request.
  [[nodiscard]] std::vector<tracked_endpoint*> endpoints_lacking_permits() const {
    auto list = lacking_;
    if (best_ != nullptr) {
      std::erase_if(list, [this](const auto& it) { return it.first >= lowest_cost_; });
    }
    std::sort(list.begin(), list.end());
    std::vector<tracked_endpoint*> endpoints;
    for (int n = 0; n < requirements_.waiting_requests && !list.empty(); ++n) {
      endpoints.push_back(list[static_cast<std::size_t>(n) % list.size()].second);
    }
    return endpoints;
  }

private:
  const service_endpoints& owner_;
  const endpoint_requirements& requirements_;
  time_point now_;
  random_engine& random_;
  const tracked_endpoint* best_ = nullptr;
  double lowest_cost_ = 0;
  int ties_ = 0;
  std::size_t compared_ = 0;
  /// Suitable endpoints without a permit, with their costs.
  std::vector<std::pair<double, tracked_endpoint*>> lacking_;
};

service_endpoints::service_endpoints(std::string data_centre, std::uint64_t seed,
                                     routing::endpoint_health health)
    : data_centre_(std::move(data_centre)), seed_(seed), health_(std::move(health)) {}

result<service_endpoints> service_endpoints::create(std::string data_centre,
                                                    std::string_view instance) {
  routing::health_options options;
  options.suspicion_threshold = ejection_threshold;
  options.base_ejection_time = base_ejection_time;
  options.max_ejection_time = max_ejection_time;
  options.half_life = suspicion_half_life;
  auto health = routing::endpoint_health::create(options);
  if (!health) {
    return health.error();
  }
  return service_endpoints(std::move(data_centre), hash64(instance), std::move(health).value());
}

void service_endpoints::put(const endpoint_entry& entry) {
  const std::string& id = entry.description.id;
  if (id.empty() || entry.description.max_running < 1) {
    return;
  }
  if (const tracked_endpoint* known = find_tracked(id);
      known != nullptr && known->entry.process_start_ms != entry.process_start_ms) {
    // A new process under the same id: the load and health of the old one do not apply.
    remove(id);
  }
  const auto [position, added] = tracked_.try_emplace(id);
  tracked_endpoint& it = position->second;
  if (!added) {
    remove_from_service(it);
  }
  health_.add(id, entry.description.data_centre, entry.description.pool);
  it.entry = entry;
  it.registered_state = entry.description.state;
  it.misdirected = false;
  it.entry.description.state =
      is_draining(it) ? routing::endpoint_state::draining : it.registered_state;
  update_warm_up(it);
  it.rank = hash64(id, seed_);
  add_to_service(it);
  if (last_software_.size() >= tracked_.size() + max_former_endpoints) {
    std::erase_if(last_software_,
                  [this](const auto& one) { return find_tracked(one.first) == nullptr; });
  }
  last_software_[id] = entry.software;
}

std::string_view service_endpoints::last_software(std::string_view id) const {
  const auto it = last_software_.find(id);
  return it == last_software_.end() ? std::string_view() : it->second;
}

void service_endpoints::remove(std::string_view id) {
  const auto it = tracked_.find(id);
  if (it == tracked_.end()) {
    return;
  }
  remove_from_service(it->second);
  end_limit(it->second);
  health_.remove(id);
  tracked_.erase(it);
}

void service_endpoints::add_to_service(tracked_endpoint& it) {
  service_entry& service = services_[it.entry.description.pool];
  const auto position = std::upper_bound(
      service.endpoints.begin(), service.endpoints.end(), it.rank,
      [](std::uint64_t rank, const tracked_endpoint* other) { return rank < other->rank; });
  service.endpoints.insert(position, &it);
  service.open_requests += it.load.own_open_requests();
  update_available(it);
}

void service_endpoints::remove_from_service(tracked_endpoint& it) {
  const auto found = services_.find(it.entry.description.pool);
  service_entry& service = found->second;
  std::erase(service.endpoints, &it);
  service.open_requests -= it.load.own_open_requests();
  service.available -= std::exchange(it.available, false) ? 1 : 0;
  if (service.endpoints.empty()) {
    services_.erase(found);
  }
}

void service_endpoints::update_available(tracked_endpoint& it) {
  const bool available = it.entry.description.state == routing::endpoint_state::ready &&
                         it.health != routing::health_state::ejected;
  if (std::exchange(it.available, available) != available) {
    services_.find(it.entry.description.pool)->second.available += available ? 1 : -1;
  }
}

service_endpoints::tracked_endpoint* service_endpoints::find_tracked(std::string_view id) {
  const auto it = tracked_.find(id);
  return it == tracked_.end() ? nullptr : &it->second;
}

const service_endpoints::tracked_endpoint*
service_endpoints::find_tracked(std::string_view id) const {
  const auto it = tracked_.find(id);
  return it == tracked_.end() ? nullptr : &it->second;
}

const endpoint_entry* service_endpoints::find(std::string_view id) const {
  const tracked_endpoint* it = find_tracked(id);
  return it == nullptr ? nullptr : &it->entry;
}

int service_endpoints::current_load(const tracked_endpoint& it, time_point now) {
  const auto& report = it.load.last_report();
  return report && now - report->as_of <= max_report_age ? it.load.outstanding()
                                                         : it.load.own_open_requests();
}

bool service_endpoints::has_free_slot(const tracked_endpoint& it, time_point now) {
  return it.health != routing::health_state::ejected && now >= it.refused_until &&
         current_load(it, now) < it.entry.description.max_running;
}

double service_endpoints::selection_cost(const tracked_endpoint& it,
                                         const endpoint_requirements& requirements,
                                         time_point now) const {
  const routing::endpoint& endpoint = it.entry.description;
  double cost = static_cast<double>(current_load(it, now)) / endpoint.max_running;
  if (endpoint.data_centre != data_centre_) {
    cost += requirements.long_running ? remote_long_running_penalty : other_data_centre_penalty;
  }
  if (requirements.long_running && it.event_interval > 0) {
    cost += slowness_penalty * (it.event_interval / shortest_interval_ - 1);
  }
  cost -= endpoint.id == requirements.preferred_endpoint ? preferred_endpoint_bonus : 0;
  cost += now < it.refused_until ? refusal_penalty : 0;
  switch (it.health) {
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
                                                         time_point now, random_engine& random) {
  const auto found = services_.find(requirements.service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  const std::vector<tracked_endpoint*>& all = found->second.endpoints;
  const auto open_requests = static_cast<std::size_t>(std::max(found->second.open_requests, 0));
  // The endpoints that this instance normally uses. The others follow if none of them is suitable.
  const std::size_t usual = std::min(all.size(), std::max(max_candidates, open_requests));
  const std::size_t first = usual <= max_candidates
                                ? 0
                                : std::uniform_int_distribution<std::size_t>(0, usual - 1)(random);
  selection compared(*this, requirements, now, random);
  if (!requirements.preferred_endpoint.empty() && usual > max_candidates) {
    if (tracked_endpoint* preferred = find_tracked(requirements.preferred_endpoint);
        preferred != nullptr) {
      compared.offer(*preferred);
    }
  }
  for (std::size_t n = 0; n < usual && !compared.is_full(); ++n) {
    compared.offer(*all[(first + n) % usual]);
  }
  for (std::size_t n = usual;
       n < all.size() && !compared.is_full() &&
       (compared.best() == nullptr || compared.best()->health == routing::health_state::ejected);
       ++n) {
    compared.offer(*all[n]);
  }
  want_permits(compared);
  const tracked_endpoint* best = compared.best();
  if (best == nullptr) {
    return std::nullopt;
  }
  return chosen_endpoint{best->entry.description.id, best->entry.address, best->entry.software,
                         best->entry.process_start_ms};
}

bool service_endpoints::is_suitable(const tracked_endpoint& it,
                                    const endpoint_requirements& requirements, time_point now) {
  const routing::route_request asked{.pool = requirements.service,
                                     .excluded = requirements.excluded};
  return routing::meets_requirements(it.entry.description, asked) &&
         (!requirements.requires_free_slot || has_free_slot(it, now)) &&
         (requirements.software.empty() || it.entry.software == requirements.software) &&
         holds_weights(it.entry, requirements);
}

bool service_endpoints::has_ready(std::string_view service, std::string_view software) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.endpoints.begin(), found->second.endpoints.end(),
                     [software](const tracked_endpoint* it) {
                       return it->entry.software == software &&
                              it->entry.description.state == routing::endpoint_state::ready;
                     });
}

void service_endpoints::want_permits(const selection& compared) {
  const bool was_empty = wanted_permits_.empty();
  for (tracked_endpoint* it : compared.endpoints_lacking_permits()) {
    if (it->limit->wanted() == 0) {
      wanted_permits_.push_back(it->entry.description.id);
    }
    it->limit->want();
  }
  if (was_empty && !wanted_permits_.empty()) {
    permits_wanted.emit();
  }
}

std::vector<permit_request> service_endpoints::take_permit_requests(time_point now) {
  std::vector<permit_request> list;
  for (std::string& id : std::exchange(wanted_permits_, {})) {
    // The endpoint may have been removed or have ended its limit meanwhile.
    if (tracked_endpoint* it = find_tracked(id);
        it != nullptr && it->limit && it->limit->wanted() > 0) {
      endpoint_permits& limit = *it->limit;
      const int count = limit.take_wanted();
      list.push_back({.endpoint = std::move(id),
                      .count = count,
                      .per_second = limit.per_second(),
                      .age = limit.stated() ? now - limit.stated_at() : duration::zero(),
                      .burst = limit.burst(),
                      .warm_up = limit.has_warm_up()});
    }
  }
  return list;
}

void service_endpoints::add_permits(std::string_view id, const permit_grant& grant,
                                    time_point now) {
  if (tracked_endpoint* it = find_tracked(id); it != nullptr && it->limit) {
    it->limit->add(grant.count, grant.retry_after, now);
  }
}

std::optional<time_point>
service_endpoints::permit_expected_at(const endpoint_requirements& requirements,
                                      time_point now) const {
  const auto found = services_.find(requirements.service);
  if (limited_count_ == 0 || found == services_.end()) {
    return std::nullopt;
  }
  std::optional<time_point> earliest;
  for (const tracked_endpoint* it : found->second.endpoints) {
    if (lacks_permit(*it, now) && is_suitable(*it, requirements, now)) {
      const time_point at = it->limit->expected_at(now);
      earliest = earliest ? std::min(*earliest, at) : at;
    }
  }
  return earliest;
}

int service_endpoints::load_of(std::string_view id, time_point now) const {
  const tracked_endpoint* it = find_tracked(id);
  return it == nullptr ? 0 : current_load(*it, now);
}

void service_endpoints::note_sent(std::string_view id, time_point now) {
  if (tracked_endpoint* it = find_tracked(id)) {
    it->load.record_dispatch(now);
    if (it->limit) {
      it->limit->use(now);
    }
    services_.find(it->entry.description.pool)->second.open_requests += 1;
  }
}

void service_endpoints::note_finished(std::string_view id,
                                      std::optional<routing::health_signal> outcome,
                                      time_point now) {
  tracked_endpoint* it = find_tracked(id);
  if (it == nullptr) {
    return;
  }
  if (it->load.record_completion(now)) {
    services_.find(it->entry.description.pool)->second.open_requests -= 1;
  }
  if (!outcome) {
    return;
  }
  health_.record(id, *outcome, now);
  // A success of a healthy endpoint changes no state.
  const bool may_change =
      *outcome != routing::health_signal::success || it->health != routing::health_state::healthy;
  const duration interval =
      tracked_.size() <= max_endpoints_updated_at_once
          ? duration::zero()
          : health_interval_per_endpoint * static_cast<duration::rep>(tracked_.size());
  if (may_change && now - health_updated_at_ >= interval) {
    update_health(now);
  }
}

void service_endpoints::update_health(time_point now) {
  health_updated_at_ = now;
  for (const routing::health_change& change : health_.update(now)) {
    if (tracked_endpoint* it = find_tracked(change.endpoint)) {
      it->health = change.to;
      update_available(*it);
    }
  }
}

void service_endpoints::note_latency(std::string_view id, duration latency, time_point now) {
  health_.record_latency(id, latency, 1, now);
}

void service_endpoints::note_event_interval(std::string_view id, double interval_seconds) {
  tracked_endpoint* it = find_tracked(id);
  if (it == nullptr || !(interval_seconds > 0)) {
    return;
  }
  double& interval = it->event_interval;
  interval = interval == 0 ? interval_seconds
                           : interval + interval_smoothing * (interval_seconds - interval);
  shortest_interval_ = shortest_interval_ == 0 ? interval : std::min(shortest_interval_, interval);
}

std::optional<double> service_endpoints::event_interval(std::string_view id) const {
  const tracked_endpoint* it = find_tracked(id);
  return it == nullptr || it->event_interval == 0 ? std::nullopt
                                                  : std::optional(it->event_interval);
}

void service_endpoints::note_refused(std::string_view id, time_point now) {
  if (tracked_endpoint* it = find_tracked(id)) {
    it->refused_until = now + refusal_duration;
  }
}

void service_endpoints::note_load(std::string_view id, int running, int waiting, time_point now) {
  if (tracked_endpoint* it = find_tracked(id)) {
    it->load.update({now, running, waiting});
  }
}

limit_change service_endpoints::note_limit(std::string_view id, std::optional<double> per_second,
                                           time_point sent_at, time_point now) {
  tracked_endpoint* it = find_tracked(id);
  if (it == nullptr) {
    return limit_change::none;
  }
  if (per_second) {
    endpoint_permits& limit = limit_of(*it);
    const bool is_new = !limit.stated();
    limit.state(*per_second, now);
    return is_new ? limit_change::started : limit_change::none;
  }
  if (!it->limit || !it->limit->stated() || sent_at < it->limit->stated_at()) {
    return limit_change::none;
  }
  it->limit->end_statement();
  end_limit_if_unlimited(*it);
  return limit_change::ended;
}

endpoint_permits& service_endpoints::limit_of(tracked_endpoint& it) {
  if (!it.limit) {
    it.limit.emplace();
    ++limited_count_;
  }
  return *it.limit;
}

void service_endpoints::update_warm_up(tracked_endpoint& it) {
  const auto budget = warm_up_.find(it.entry.description.pool);
  if (budget != warm_up_.end()) {
    limit_of(it).set_warm_up(budget->second);
  } else if (it.limit) {
    it.limit->set_warm_up(std::nullopt);
    end_limit_if_unlimited(it);
  }
}

void service_endpoints::set_warm_up(std::map<std::string, warm_up_budget, std::less<>> by_service) {
  if (by_service == warm_up_) {
    return;
  }
  warm_up_ = std::move(by_service);
  for (auto& [id, it] : tracked_) {
    update_warm_up(it);
  }
}

void service_endpoints::end_limit_if_unlimited(tracked_endpoint& it) {
  if (it.limit && !it.limit->is_limited()) {
    end_limit(it);
  }
}

void service_endpoints::end_limit(tracked_endpoint& it) {
  if (it.limit) {
    it.limit.reset();
    --limited_count_;
  }
}

std::optional<double> service_endpoints::request_limit(std::string_view id) const {
  const tracked_endpoint* it = find_tracked(id);
  return it == nullptr || !it->limit ? std::nullopt : it->limit->stated();
}

bool service_endpoints::is_leaving(const endpoint_entry& entry) const {
  const auto found = leaving_.find(entry.description.id);
  return found != leaving_.end() && found->second == entry.process_start_ms;
}

bool service_endpoints::note_leaving(const routing::endpoint_process& process) {
  tracked_endpoint* it = find_tracked(process.endpoint);
  // A late response says nothing about a process that has taken over the id.
  if (it == nullptr || it->entry.process_start_ms != process.start_ms || is_leaving(it->entry)) {
    return false;
  }
  if (leaving_.size() >= max_leaving_processes) {
    std::erase_if(leaving_, [this](const auto& one) { return find_tracked(one.first) == nullptr; });
  }
  leaving_[process.endpoint] = process.start_ms;
  update_state(*it);
  return true;
}

bool service_endpoints::is_draining(const tracked_endpoint& it) const {
  return it.misdirected || is_leaving(it.entry) || is_evacuated(it.entry.description.data_centre);
}

void service_endpoints::update_state(tracked_endpoint& it) {
  it.entry.description.state =
      is_draining(it) ? routing::endpoint_state::draining : it.registered_state;
  update_available(it);
}

bool service_endpoints::set_evacuated(std::string_view data_centre, bool evacuated) {
  if (is_evacuated(data_centre) == evacuated) {
    return false;
  }
  if (evacuated) {
    evacuated_.emplace(data_centre);
  } else {
    evacuated_.erase(evacuated_.find(data_centre));
  }
  for (auto& [id, it] : tracked_) {
    if (it.entry.description.data_centre == data_centre) {
      update_state(it);
    }
  }
  return true;
}

int service_endpoints::open_requests_in(std::string_view data_centre) const {
  int n = 0;
  for (const auto& [id, it] : tracked_) {
    n += it.entry.description.data_centre == data_centre ? it.load.own_open_requests() : 0;
  }
  return n;
}

void service_endpoints::note_misdirected(std::string_view id) {
  if (tracked_endpoint* it = find_tracked(id)) {
    it->misdirected = true;
    update_state(*it);
  }
}

void service_endpoints::note_version(std::string_view id, std::string_view model,
                                     std::uint64_t version) {
  tracked_endpoint* it = find_tracked(id);
  if (it == nullptr) {
    return;
  }
  if (const auto held = it->entry.versions.find(model); held != it->entry.versions.end()) {
    held->second = std::max(held->second, version);
  }
}

void service_endpoints::tick(time_point now) {
  update_health(now);
  shortest_interval_ = 0;
  for (const auto& [id, it] : tracked_) {
    if (it.event_interval > 0 &&
        (shortest_interval_ == 0 || it.event_interval < shortest_interval_)) {
      shortest_interval_ = it.event_interval;
    }
  }
}

int service_endpoints::available_count(std::string_view service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? 0 : it->second.available;
}

} // namespace boragedoor::dispatch
