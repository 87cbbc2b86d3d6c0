#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/sigc++.h>

#include "base/json.h"
#include "daemon/daemon_context.h"
#include "daemon/membership_task.h"
#include "routing/endpoint_health.h"
#include "routing/endpoint_table.h"
#include "routing/prefix_cache_hints.h"
#include "routing/router.h"

namespace boragedoor::daemon {

/// An endpoint that was chosen for an attempt.
struct chosen_endpoint {
  std::string id;
  net::address target;
  std::string incarnation;
};

/// Owns what this instance knows of the endpoints: the platform's table, load, health and cache
/// hints.
class endpoint_task {
public:
  static result<std::unique_ptr<endpoint_task>> create(const daemon_context& context);

  void start();
  void on_list(std::span<const listed_instance> list);

  /// The load of all engines of a data centre is read while this instance orders them. Of the
  /// others only those that this instance may choose are asked.
  void observe_data_centre(const std::string& name, bool observe);

  /// Chooses an endpoint and counts the attempt against it until `finished`.
  /// Fails with `unavailable`.
  result<chosen_endpoint> choose(const routing::route_request& request);

  /// Ends an attempt; `evidence` is what it says about the endpoint.
  void finished(const std::string& endpoint, std::optional<routing::health_signal> evidence);

  /// Asks an endpoint whether its process is still the one with that incarnation; the answer is
  /// false when it is gone or another one, and nothing when it does not answer.
  void check_incarnation(const chosen_endpoint& endpoint,
                         const std::function<void(std::optional<bool>)>& done);

  /// The process with that incarnation is gone. The endpoint gets no requests until it has reported
  /// its load again, so that another crash is not taken for the same one.
  void process_ended(const std::string& endpoint, const std::string& incarnation);

  /// Ready endpoints of a pool, also those that are set aside.
  [[nodiscard]] std::vector<std::string> ready(std::string_view pool) const;

  /// Whether an engine has reported its load and version to this instance.
  [[nodiscard]] bool has_reported(const std::string& endpoint) const {
    return incarnations_.contains(endpoint);
  }

  /// Requests on an endpoint, as far as this instance knows.
  [[nodiscard]] int outstanding(const std::string& endpoint) const {
    return table_.outstanding(endpoint);
  }

  /// Places for requests over all ready endpoints of a pool, and the requests on them.
  struct capacity {
    int places = 0;
    int outstanding = 0;
  };
  [[nodiscard]] capacity capacity_of(std::string_view pool) const;
  [[nodiscard]] std::size_t instances() const { return instances_; }

  /// The endpoints of a data centre (all, if empty) with their state, for orders and operators.
  [[nodiscard]] std::vector<routing::endpoint> endpoints(std::string_view data_centre = {}) const;
  [[nodiscard]] json describe() const;

  /// Emitted after each change of the table.
  sigc::signal<void()>& changed() { return changed_; }

private:
  endpoint_task(const daemon_context& context, routing::router router,
                routing::endpoint_health health, routing::prefix_cache_hints hints);

  void poll_table();
  void accept_table(const json& value);
  void poll_loads();
  [[nodiscard]] std::set<std::string> engines_to_poll() const;
  void poll_load(const routing::endpoint& it);
  void poll_cache_events(const routing::endpoint& it);
  void update_health();
  void record(events::event_number number, const std::string& endpoint, json details = {});

  const daemon_context& context_;
  routing::router router_;
  routing::endpoint_health health_;
  routing::prefix_cache_hints hints_;
  routing::endpoint_table table_;
  std::map<std::string, std::string> incarnations_;
  /// When the last known process of an endpoint was found to be gone.
  std::map<std::string, time_point> ended_;
  std::map<std::string, std::uint64_t> cache_sequences_;
  std::set<std::string> observed_;
  net::timer table_timer_;
  net::timer load_timer_;
  std::size_t instances_ = 1;
  sigc::signal<void()> changed_;
};

} // namespace boragedoor::daemon
