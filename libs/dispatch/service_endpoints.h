#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/signal.h>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "dispatch/endpoint_permits.h"
#include "dispatch/permit_keeper.h"
#include "net/http_types.h"
#include "routing/endpoint_health.h"
#include "routing/endpoint_load.h"
#include "routing/endpoint_process.h"
#include "routing/endpoint_table.h"
#include "routing/router.h"

namespace boragedoor::dispatch {

/// The platform registry's entry for one endpoint.
struct endpoint_entry {
  routing::endpoint description;
  net::address address;
  /// Loaded weight version by model name; empty if the service hosts no models.
  std::map<std::string, std::uint64_t, std::less<>> versions;
  /// Service and version of the software that the endpoint runs, for example "models/v2". Streams
  /// that different software generates do not fit together.
  std::string software;
  /// Start time of the process in Unix milliseconds. It changes when a new process takes over the
  /// id.
  std::int64_t process_start_ms = 0;
  /// Key of the entry in the registry, and the revision of its last change that is known.
  std::string key{};
  std::uint64_t revision = 0;
};

/// What a request requires of an endpoint, and which endpoints it prefers.
struct endpoint_requirements {
  std::string_view service{};
  std::string_view model{};
  std::uint64_t minimum_version = 0;
  /// Software that an endpoint must run, because it continues a stream; empty for any.
  std::string_view software{};
  /// Ids of endpoints that must not be chosen, for example because they were already tried.
  std::span<const std::string> excluded{};
  /// Chooses nothing rather than an endpoint that would have to queue the request.
  bool requires_free_slot = false;
  /// Id of an endpoint whose cost is reduced, for example because it has the prompt in its cache.
  std::string_view preferred_endpoint{};
  /// The request runs for seconds, so token speed outweighs network latency: fast endpoints are
  /// preferred in any data centre.
  bool long_running = false;
  /// Number of requests that the caller would send now, this one included.
  int waiting_requests = 1;
  /// Nothing is sent to the chosen endpoint now, so no permit is needed because it may be cold.
  bool is_estimate = false;
};

/// Whether a response started or ended the limit of an endpoint's requests.
enum class limit_change { none, started, ended };

struct chosen_endpoint {
  std::string id;
  net::address address;
  /// See `endpoint_entry::software`.
  std::string software;
  /// See `endpoint_entry::process_start_ms`.
  std::int64_t process_start_ms = 0;

  [[nodiscard]] routing::endpoint_process process() const { return {id, process_start_ms}; }
};

/// Tracks the load and health of all services' endpoints and selects one for each request.
///
/// Design load: thousands of endpoints of one service, and an instance with an eighth of a core
/// that starts hundreds of requests a second. A choice compares at most `max_candidates` endpoints,
/// from a part of the service that is stable and grows with the requests that this instance has
/// open there. An instance with little traffic so keeps its connections to few endpoints, and a
/// service with up to `max_candidates` endpoints is compared as a whole.
///
/// An endpoint that states a limit of its requests, or may be cold at any moment, is chosen only
/// with a permit for one of them. `choose` notes which permits are missing; their owner requests
/// them and adds them.
class service_endpoints {
public:
  /// Number of suitable endpoints that one choice compares.
  static constexpr std::size_t max_candidates = 64;

  service_endpoints(const service_endpoints&) = delete;
  service_endpoints& operator=(const service_endpoints&) = delete;
  service_endpoints(service_endpoints&&) = default;
  service_endpoints& operator=(service_endpoints&&) = default;
  ~service_endpoints() = default;

  /// `instance` decides the order in which endpoints are used. Fails with `invalid_argument` if the
  /// health options contradict each other.
  static result<service_endpoints> create(std::string data_centre, std::string_view instance = {});

  /// Adds or updates an endpoint. A new process under a known id starts without load and health
  /// history.
  void put(const endpoint_entry& entry);
  void remove(std::string_view id);
  [[nodiscard]] const endpoint_entry* find(std::string_view id) const;
  /// Returns the software of the last entry of an id, also after it was removed; empty if it is not
  /// known.
  [[nodiscard]] std::string_view last_software(std::string_view id) const;

  /// Returns the endpoint with the lowest cost, or nothing if none can take the request. The cost
  /// is the load relative to capacity plus penalties, for example for another data centre.
  [[nodiscard]] std::optional<chosen_endpoint> choose(const endpoint_requirements& requirements,
                                                      time_point now, random_engine& random);

  /// Sets the budgets of the services whose endpoints may be cold at any moment.
  void set_warm_up(std::map<std::string, warm_up_budget, std::less<>> by_service);

  /// Emitted when `choose` lacked a permit that can be requested.
  sigc::signal<void()> permits_wanted;
  /// Returns the requests for the permits that are wanted, and notes that they are sent.
  [[nodiscard]] std::vector<permit_request> take_permit_requests(time_point now);
  /// Adds the permits that were granted upon a request.
  void add_permits(std::string_view id, const permit_grant& grant, time_point now);
  /// Whether requests to any endpoint need permits.
  [[nodiscard]] bool has_limits() const { return limited_count_ > 0; }
  /// Returns the earliest time at which a permit for an endpoint that meets the requirements can
  /// arrive; nothing if no endpoint is unavailable for lack of a permit alone.
  [[nodiscard]] std::optional<time_point>
  permit_expected_at(const endpoint_requirements& requirements, time_point now) const;

  void note_sent(std::string_view id, time_point now);
  /// Records the end of a request. `outcome` is empty if it says nothing about the endpoint's
  /// health.
  void note_finished(std::string_view id, std::optional<routing::health_signal> outcome,
                     time_point now);
  void note_latency(std::string_view id, duration latency, time_point now);
  /// Records the time between two events of a stream from the endpoint, in seconds.
  void note_event_interval(std::string_view id, double interval_seconds);
  /// Returns the smoothed time between events in seconds, or nothing if none was recorded.
  [[nodiscard]] std::optional<double> event_interval(std::string_view id) const;
  /// Records that the endpoint refused a request because it is full or loading weights.
  void note_refused(std::string_view id, time_point now);
  void note_load(std::string_view id, int running, int waiting, time_point now);
  /// Records that the response to a request sent at `sent_at` states a limit of `per_second`
  /// requests from all instances, or none. Responses to requests that were sent before the limit
  /// was last stated do not end it, because responses on different connections overtake each other.
  limit_change note_limit(std::string_view id, std::optional<double> per_second, time_point sent_at,
                          time_point now);
  /// Returns the requests a second that an endpoint states to take, if it states a limit.
  [[nodiscard]] std::optional<double> request_limit(std::string_view id) const;
  /// Records that a process of an endpoint states that it leaves. It gets no further requests, also
  /// after its entry has changed or was gone. Returns whether this is new.
  bool note_leaving(const routing::endpoint_process& process);
  /// Records that another process answers at the endpoint's address. The endpoint gets no requests
  /// until its entry changes.
  void note_misdirected(std::string_view id);
  /// Sets whether a data centre is evacuated: its endpoints, also those that appear meanwhile, then
  /// count as draining. Returns whether this is a change.
  bool set_evacuated(std::string_view data_centre, bool evacuated);
  [[nodiscard]] bool is_evacuated(std::string_view data_centre) const {
    return evacuated_.contains(data_centre);
  }
  /// Returns the number of requests that this instance has open at endpoints of a data centre.
  [[nodiscard]] int open_requests_in(std::string_view data_centre) const;
  void note_version(std::string_view id, std::string_view model, std::uint64_t version);
  /// Updates the health states that depend on time.
  void tick(time_point now);

  /// Whether an endpoint with this software is in service, healthy or not.
  [[nodiscard]] bool has_ready(std::string_view service, std::string_view software) const;
  /// Returns the number of endpoints of a service that accept new requests.
  [[nodiscard]] int available_count(std::string_view service) const;
  /// Returns the number of requests at an endpoint: its last load report plus the requests that
  /// this instance sent since, or only this instance's open requests if the report is too old.
  [[nodiscard]] int load_of(std::string_view id, time_point now) const;
  /// Calls `visit(const endpoint_entry&)` for each endpoint, ordered by id.
  template <class Visitor>
  void for_each(Visitor&& visit) const {
    for (const auto& [id, it] : tracked_) {
      visit(it.entry);
    }
  }

private:
  struct tracked_endpoint {
    /// Its state is `draining` if anything keeps the endpoint from getting requests.
    endpoint_entry entry;
    /// The state that the registry's entry names.
    routing::endpoint_state registered_state = routing::endpoint_state::ready;
    /// Whether another process answers at the address.
    bool misdirected = false;
    routing::endpoint_load load;
    routing::health_state health = routing::health_state::healthy;
    /// Smoothed time between stream events, in seconds; 0 while unknown.
    double event_interval = 0;
    std::optional<endpoint_permits> limit;
    /// Time until which an endpoint that refused a request is penalised.
    time_point refused_until{};
    /// Position of the endpoint in the order of its service. It depends on the instance, so that
    /// instances with little traffic use different endpoints.
    std::uint64_t rank = 0;
    /// Whether the endpoint is counted in `service_entry::available`.
    bool available = false;
  };
  struct service_entry {
    /// Endpoints by rank.
    std::vector<tracked_endpoint*> endpoints;
    /// Requests that this instance has open at them.
    int open_requests = 0;
    int available = 0;
  };
  class selection;

  service_endpoints(std::string data_centre, std::uint64_t seed, routing::endpoint_health health);

  tracked_endpoint* find_tracked(std::string_view id);
  [[nodiscard]] const tracked_endpoint* find_tracked(std::string_view id) const;
  /// Whether the process of an entry states that it leaves.
  [[nodiscard]] bool is_leaving(const endpoint_entry& entry) const;
  /// Whether anything keeps the endpoint from getting requests.
  [[nodiscard]] bool is_draining(const tracked_endpoint& it) const;
  void update_state(tracked_endpoint& it);
  void add_to_service(tracked_endpoint& it);
  void remove_from_service(tracked_endpoint& it);
  void update_available(tracked_endpoint& it);
  [[nodiscard]] static bool lacks_permit(const tracked_endpoint& it, time_point now) {
    return it.limit && !it.limit->has_permit(now);
  }
  /// Makes the budget of the endpoint's service count for it.
  void update_warm_up(tracked_endpoint& it);
  /// Returns the endpoint's limit, which it creates if there is none.
  endpoint_permits& limit_of(tracked_endpoint& it);
  [[nodiscard]] static bool is_suitable(const tracked_endpoint& it,
                                        const endpoint_requirements& requirements, time_point now);
  void end_limit(tracked_endpoint& it);
  /// Ends the limit if nothing limits the requests any more.
  void end_limit_if_unlimited(tracked_endpoint& it);
  /// Notes that permits are wanted for the endpoints that `compared` lacked one for.
  void want_permits(const selection& compared);
  void update_health(time_point now);
  [[nodiscard]] static int current_load(const tracked_endpoint& it, time_point now);
  [[nodiscard]] double selection_cost(const tracked_endpoint& it,
                                      const endpoint_requirements& requirements,
                                      time_point now) const;
  [[nodiscard]] static bool has_free_slot(const tracked_endpoint& it, time_point now);

  std::string data_centre_;
  /// Hash of the instance name, from which the ranks are made.
  std::uint64_t seed_ = 0;
  std::map<std::string, tracked_endpoint, std::less<>> tracked_;
  std::map<std::string, service_entry, std::less<>> services_;
  /// Shortest event interval of all endpoints, in seconds; 0 while none is known. `tick` raises it
  /// when the endpoint that had it is slower or gone.
  double shortest_interval_ = 0;
  routing::endpoint_health health_;
  time_point health_updated_at_{};
  /// Processes that state that they leave, by endpoint id.
  std::map<std::string, std::int64_t, std::less<>> leaving_;
  /// Software of the last entry by endpoint id.
  std::map<std::string, std::string, std::less<>> last_software_;
  std::set<std::string, std::less<>> evacuated_;
  std::map<std::string, warm_up_budget, std::less<>> warm_up_;
  std::size_t limited_count_ = 0;
  /// Ids of the endpoints for which permits are wanted and not yet requested.
  std::vector<std::string> wanted_permits_;
};

} // namespace boragedoor::dispatch
