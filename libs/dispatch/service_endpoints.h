#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "net/http_types.h"
#include "routing/endpoint_health.h"
#include "routing/endpoint_table.h"
#include "routing/router.h"

namespace boragedoor::dispatch {

/// What the platform's registry says about one endpoint.
struct endpoint_entry {
  routing::endpoint description;
  net::address address;
  /// Weight versions by model; empty for a plain service.
  std::map<std::string, std::uint64_t, std::less<>> versions;
  /// Start of the process, Unix milliseconds: another value is another process under the same id.
  std::int64_t born = 0;
};

/// What a request asks of an endpoint.
struct endpoint_need {
  std::string_view service{};
  std::string_view model{};
  std::uint64_t minimum_version = 0;
  /// Endpoints that are not tried again.
  std::span<const std::string> excluded{};
  /// Fails rather than queue at an endpoint whose places are all taken.
  bool needs_free_place = false;
  /// An endpoint that is preferred while it has a free place, for example for a cached prompt.
  std::string_view preferred{};
  /// The time that the request takes decides more than the way to it: fast endpoints are preferred,
  /// wherever they are.
  bool long_running = false;
};

struct chosen_endpoint {
  std::string id;
  net::address address;
};

/// The endpoints of all services with their load and health, and the choice among them.
class service_endpoints {
public:
  /// Fails with `invalid_argument` on options that contradict each other.
  static result<service_endpoints> create(std::string data_centre);

  void put(const endpoint_entry& it);
  void remove(std::string_view id);
  [[nodiscard]] const endpoint_entry* find(std::string_view id) const;

  /// Chooses the endpoint with the least load relative to its places, those of this data centre
  /// first; nothing if none can take the request.
  [[nodiscard]] std::optional<chosen_endpoint> choose(const endpoint_need& need, time_point now,
                                                      random_engine& random) const;

  void note_sent(std::string_view id, time_point now);
  /// Notes the end of a request; `seen` is left out where it says nothing about the endpoint.
  void note_finished(std::string_view id, std::optional<routing::health_signal> seen,
                     time_point now);
  void note_latency(std::string_view id, duration latency, time_point now);
  /// Notes the seconds between two events of a stream there.
  void note_event_interval(std::string_view id, double value);
  /// Smoothed seconds between events there; nothing while it is not known.
  [[nodiscard]] std::optional<double> event_interval(std::string_view id) const;
  /// The endpoint refused a request for want of a place, or because it loads weights.
  void note_refused(std::string_view id, time_point now);
  void note_load(std::string_view id, int running, int waiting, time_point now);
  /// The process at the endpoint's address is another one: it is not used until its entry changes.
  void note_misdirected(std::string_view id);
  void note_version(std::string_view id, std::string_view model, std::uint64_t version);
  /// Lets health states that depend on time change.
  void tick(time_point now);

  /// Endpoints of a service that take new requests.
  [[nodiscard]] int available(std::string_view service) const;
  /// Requests at an endpoint: by its last report and the own requests since, or the own open ones
  /// if the report is old.
  [[nodiscard]] int load_of(std::string_view id, time_point now) const;
  [[nodiscard]] const std::map<std::string, endpoint_entry, std::less<>>& entries() const {
    return entries_;
  }

private:
  service_endpoints(std::string data_centre, routing::endpoint_health health);

  [[nodiscard]] double cost_of(const endpoint_entry& it, const endpoint_need& need,
                               time_point now) const;
  [[nodiscard]] bool has_free_place(const endpoint_entry& it, time_point now) const;
  [[nodiscard]] bool refused_lately(std::string_view id, time_point now) const;
  [[nodiscard]] double fastest_interval() const;

  std::string data_centre_;
  std::map<std::string, endpoint_entry, std::less<>> entries_;
  /// Smoothed event intervals in seconds, and times until which endpoints count as full.
  std::map<std::string, double, std::less<>> intervals_;
  std::map<std::string, time_point, std::less<>> refused_until_;
  routing::endpoint_table table_;
  routing::endpoint_health health_;
};

} // namespace boragedoor::dispatch
