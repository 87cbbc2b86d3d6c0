#include "instance/evacuation_task.h"

namespace boragedoor::instance {

namespace {

using events::event_number;

constexpr duration tick_interval = milliseconds(250);
constexpr std::string_view gauge_name = "boragedoor_evacuated_requests";
constexpr std::string_view gauge_help =
    "requests of this instance that still run in an evacuated data centre";

} // namespace

evacuation_task::evacuation_task(instance_context& context)
    : context_(context), timer_(context.loop, [this] { tick(); }) {}

void evacuation_task::set(const std::string& data_centre, bool evacuated) {
  if (!context_.endpoints.set_evacuated(data_centre, evacuated)) {
    return;
  }
  const time_point now = context_.loop.now();
  if (evacuated) {
    if (in_force_.empty()) {
      timer_.start_periodic(tick_interval);
    }
    in_force_[data_centre] = {.since = now};
    context_.record(
        event_number::evacuation_started, {}, {},
        {{"data_centre", data_centre}, {"open", context_.endpoints.open_requests_in(data_centre)}});
    tick();
    return;
  }
  const auto it = in_force_.find(data_centre);
  context_.record(
      event_number::evacuation_ended, {}, {},
      {{"data_centre", data_centre}, {"lasted_ms", to_milliseconds(now - it->second.since)}});
  context_.metrics.get_gauge(gauge_name, gauge_help, {{"data_centre", data_centre}}).set(0);
  in_force_.erase(it);
  if (in_force_.empty()) {
    timer_.cancel();
  }
}

void evacuation_task::tick() {
  for (auto& [data_centre, it] : in_force_) {
    const int open = context_.endpoints.open_requests_in(data_centre);
    context_.metrics.get_gauge(gauge_name, gauge_help, {{"data_centre", data_centre}}).set(open);
    if (open == 0 && !it.is_empty) {
      it.is_empty = true;
      context_.record(event_number::evacuation_complete, {}, {},
                      {{"data_centre", data_centre},
                       {"after_ms", to_milliseconds(context_.loop.now() - it.since)}});
    }
  }
}

} // namespace boragedoor::instance
