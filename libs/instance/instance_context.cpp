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
