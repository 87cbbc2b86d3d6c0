#include "instance/instance_context.h"

#include <utility>

namespace boragedoor::instance {

wall_time instance_context::stable_wall_now() {
  return wall_clock.read(loop.now(), wall_now());
}

void instance_context::count(std::string_view name, std::string_view help,
                             std::string_view outcome) {
  metrics.get_counter(name, help, {{"outcome", std::string(outcome)}}).add();
}

void instance_context::measure(std::string_view name, std::string_view help, duration elapsed) {
  metrics.get_distribution(name, help).add(std::chrono::duration<double>(elapsed).count());
}

void instance_context::note_sent(const std::string& endpoint, std::string_view purpose) {
  if (endpoints.request_limit(endpoint)) {
    metrics
        .get_counter("boragedoor_limited_requests_total",
                     "requests sent to endpoints that state a limit",
                     {{"purpose", std::string(purpose)}})
        .add();
  }
  endpoints.note_sent(endpoint, loop.now());
}

void instance_context::note_departure(const routing::endpoint_process& process,
                                      const endpoint_reply& reply) {
  if (reply.leaving && endpoints.note_leaving(process)) {
    record(events::event_number::endpoint_draining, {}, process.endpoint,
           {{"reason", "response"}, {"process", process.start_ms}});
  }
}

void instance_context::note_reply(const routing::endpoint_process& process,
                                  const endpoint_reply& reply, time_point sent_at) {
  const std::string& endpoint = process.endpoint;
  const time_point now = loop.now();
  note_departure(process, reply);
  if (reply.running && reply.waiting) {
    endpoints.note_load(endpoint, *reply.running, *reply.waiting, now);
  }
  // Another process says nothing about the endpoint, and only a response that the endpoint itself
  // completed shows that it states no limit any more.
  if (reply.misdirected || (!reply.request_limit && reply.signature.empty())) {
    return;
  }
  switch (endpoints.note_limit(endpoint, reply.request_limit, sent_at, now)) {
  case dispatch::limit_change::none:
    return;
  case dispatch::limit_change::started:
    record(events::event_number::endpoint_limited, {}, endpoint,
           {{"requests_per_s", reply.request_limit.value_or(0)}});
    return;
  case dispatch::limit_change::ended:
    record(events::event_number::endpoint_limit_ended, {}, endpoint);
    return;
  }
}

void instance_context::record(events::event_number number, std::string_view request,
                              std::string_view endpoint, json details) {
  events::event it;
  it.number = number;
  it.monotonic = loop.now();
  it.wall = wall_now();
  it.request = request;
  it.endpoint = endpoint;
  it.revision = routes.version();
  it.details = std::move(details);
  log.record(std::move(it));
}

} // namespace boragedoor::instance
