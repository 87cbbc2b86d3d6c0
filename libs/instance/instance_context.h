#pragma once

#include <string>
#include <string_view>

#include "base/json.h"
#include "base/random.h"
#include "dispatch/route_table.h"
#include "dispatch/service_endpoints.h"
#include "events/event_log.h"
#include "http1/client.h"
#include "instance/durable_store.h"
#include "instance/endpoint_protocol.h"
#include "metrics/registry.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Who this process is and the bounds that it must keep.
struct instance_identity {
  std::string name;
  /// Drawn at each start.
  std::string boot;
  std::string data_centre;
  std::string region;
  /// Processor time that this instance has, in cores.
  double processor = 1;

  /// Name and start: a restarted process is another member.
  [[nodiscard]] std::string member_id() const { return name + "/" + boot; }
};

/// What all tasks of a process share. It outlives them.
struct instance_context {
  net::event_loop& loop;
  http1::client& calls;
  durable_store& store;
  const endpoint_protocol& protocol;
  events::event_log& log;
  metrics::registry& metrics;
  instance_identity identity;
  dispatch::route_table routes;
  dispatch::service_endpoints endpoints;
  random_engine random;

  /// Counts an outcome, for example of requests or of runs.
  void count(std::string_view what, std::string_view help, std::string_view outcome);
  /// Adds to a distribution of times.
  void measure(std::string_view what, std::string_view help, duration took);
  /// Writes one event. `request` and `endpoint` may be empty.
  void record(events::event_number number, std::string_view request, std::string_view endpoint,
              json details = json::object());
};

} // namespace boragedoor::instance
