#include "instance/replica_task.h"

#include <algorithm>
#include <utility>

namespace boragedoor::instance {

namespace {

constexpr duration tick_interval = milliseconds(500);

} // namespace

replica_task::replica_task(instance_context& context, member_task& members, duty_intake& intake,
                           std::function<int()> open_items, std::function<int()> loads_at_once)
    : context_(context), members_(members), intake_(intake), open_items_(std::move(open_items)),
      loads_at_once_(std::move(loads_at_once)), timer_(context.loop, [this] { tick(); }) {}

void replica_task::start() {
  timer_.start_periodic(tick_interval);
}

std::vector<duties::replica_bounds> replica_task::services() {
  std::vector<duties::replica_bounds> list;
  if (!context_.routes.current()) {
    return list;
  }
  for (const dispatch::service& it : context_.routes.current()->services) {
    if (!it.scaling || it.models.empty()) {
      continue;
    }
    duties::replica_bounds bounds{.service = it.name,
                                  .min_replicas = it.scaling->min_endpoints,
                                  .max_replicas = it.scaling->max_endpoints,
                                  .slots_per_replica = 1,
                                  .present = {}};
    auto& centres = known_centres_[it.name];
    for (auto& [name, n] : centres) {
      n = 0;
    }
    for (const auto& [id, entry] : context_.endpoints.entries()) {
      if (entry.description.pool != it.name) {
        continue;
      }
      bounds.slots_per_replica = std::max(bounds.slots_per_replica, entry.description.max_running);
      centres[entry.description.data_centre] +=
          entry.description.state == routing::endpoint_state::ready ? 1 : 0;
    }
    bounds.present = centres;
    if (!bounds.present.empty()) {
      list.push_back(std::move(bounds));
    }
  }
  return list;
}

void replica_task::tick() {
  const time_point now = context_.loop.now();
  const auto permit = members_.permit(now);
  const int items = open_items_();
  if (items > 0) {
    plan_.record_demand(items, now);
  }
  if (!permit) {
    return;
  }
  for (const duties::replica_order& order : plan_.decide(services(), loads_at_once_(), now)) {
    send(order, {context_.identity.name, permit->fencing_token});
  }
}

void replica_task::send(const duties::replica_order& order, const duty_holder& by) {
  context_.record(events::event_number::order_sent, {}, {},
                  {{"service", order.service},
                   {"data_centre", order.data_centre},
                   {"count", order.count},
                   {"fencing_token", by.fencing_token}});
  intake_.order_replicas(order, by, [this, order, by](intake_answer answer) {
    const bool accepted = answer == intake_answer::accepted;
    context_.record(
        accepted ? events::event_number::order_confirmed : events::event_number::order_refused, {},
        {},
        {{"service", order.service}, {"data_centre", order.data_centre}, {"count", order.count}});
    if (answer == intake_answer::superseded) {
      members_.reject_token(by.fencing_token);
    }
    if (!accepted) {
      plan_.failed(order);
    }
  });
}

} // namespace boragedoor::instance
