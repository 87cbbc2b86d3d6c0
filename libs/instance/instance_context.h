#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/random.h"
#include "base/stable_wall_clock.h"
#include "dispatch/route_table.h"
#include "dispatch/service_endpoints.h"
#include "events/event_log.h"
#include "http1/client.h"
#include "instance/durable_store.h"
#include "instance/endpoint_calls.h"
#include "instance/endpoint_protocol.h"
#include "metrics/registry.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Identity, location and processor share of this process.
struct instance_identity {
  std::string name;
  /// Random id generated at each start.
  std::string boot;
  std::string data_centre;
  std::string region;
  /// Processor time available to this instance, in cores.
  double processor = 1;

  /// Combines name and boot id, so that a restarted process is a new member.
  [[nodiscard]] std::string member_id() const { return name + "/" + boot; }
};

/// State shared by all tasks of a process. It outlives the tasks.
struct instance_context {
  net::event_loop& loop;
  /// Limits the bytes of messages that this process holds.
  std::shared_ptr<http1::byte_budget> budget;
  http1::client& calls;
  /// Carries requests to endpoints. Orders to them go through `calls`, because a receiver takes one
  /// from another instance for that of another holder.
  endpoint_calls& outgoing;
  durable_store& store;
  const endpoint_protocol& protocol;
  events::event_log& log;
  metrics::registry& metrics;
  instance_identity identity;
  dispatch::route_table routes;
  dispatch::service_endpoints endpoints;
  random_engine random;
  stable_wall_clock wall_clock{};

  /// The wall time that decisions use. It does not follow steps of the system's clock at once.
  [[nodiscard]] wall_time stable_wall_now();
  /// Increments the counter `name` for an outcome, for example of a request or a run.
  void count(std::string_view name, std::string_view help, std::string_view outcome);
  /// Adds a duration, in seconds, to the distribution `name`.
  void measure(std::string_view name, std::string_view help, duration elapsed);
  /// Records that a request was sent to an endpoint. `purpose` names the kind of request in the
  /// metric of requests to limited endpoints.
  void note_sent(const std::string& endpoint, std::string_view purpose);
  /// Records the load, the request limit and the departure that the response to a request sent at
  /// `sent_at` states.
  void note_reply(const routing::endpoint_process& process, const endpoint_reply& reply,
                  time_point sent_at);
  /// Records whether a response states that the endpoint leaves.
  void note_departure(const routing::endpoint_process& process, const endpoint_reply& reply);
  /// Writes an event to the log. `request` and `endpoint` may be empty.
  void record(events::event_number number, std::string_view request, std::string_view endpoint,
              json details = json::object());
};

} // namespace boragedoor::instance
