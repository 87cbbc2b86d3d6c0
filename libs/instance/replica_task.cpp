#include "instance/replica_task.h"

#include <algorithm>
#include <utility>

namespace boragedoor::instance {

namespace {

constexpr duration tick_interval = milliseconds(500);

} // namespace

replica_task::replica_task(instance_context& context, member_task& members, duty_intake& intake,
                           std::function<int()> open_item_count,
                           std::function<int()> max_concurrent_loads)
    : context_(context), members_(members), intake_(intake),
      open_item_count_(std::move(open_item_count)),
      max_concurrent_loads_(std::move(max_concurrent_loads)),
      timer_(context.loop, [this] { tick(); }) {}

void replica_task::start() {
  timer_.start_periodic(tick_interval);
}

std::vector<duties::replica_bounds> replica_task::scaled_services() {
  std::vector<duties::replica_bounds> found;
  if (!context_.routes.current()) {
    return found;
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
    auto& ready_counts = known_data_centres_[it.name];
    for (auto& [name, ready_count] : ready_counts) {
      ready_count = 0;
    }
    context_.endpoints.for_each([&](const dispatch::endpoint_entry& entry) {
      if (entry.description.pool != it.name) {
        return;
      }
      bounds.slots_per_replica = std::max(bounds.slots_per_replica, entry.description.max_running);
      ready_counts[entry.description.data_centre] +=
          entry.description.state == routing::endpoint_state::ready ? 1 : 0;
    });
    for (const auto& [name, ready_count] : ready_counts) {
      // Nothing is ordered for an evacuated data centre. The others get its share.
      if (!context_.endpoints.is_evacuated(name)) {
        bounds.present.emplace(name, ready_count);
      }
    }
    if (!bounds.present.empty()) {
      found.push_back(std::move(bounds));
    }
  }
  return found;
}

void replica_task::tick() {
  const time_point now = context_.loop.now();
  const auto permit = members_.permit(now);
  const int open_items = open_item_count_();
  if (open_items > 0) {
    plan_.record_demand(open_items, now);
  }
  if (!permit) {
    return;
  }
  for (const duties::replica_order& order :
       plan_.decide(scaled_services(), max_concurrent_loads_(), now)) {
    send_order(order, *permit);
  }
}

void replica_task::send_order(const duties::replica_order& order, const duty_holder& holder) {
  context_.record(events::event_number::order_sent, {}, {},
                  {{"service", order.service},
                   {"data_centre", order.data_centre},
                   {"count", order.count},
                   {"fencing_token", holder.fencing_token}});
  intake_.order_replicas(order, holder, [this, order, holder](intake_result result) {
    const bool accepted = result == intake_result::accepted;
    context_.record(
        accepted ? events::event_number::order_confirmed : events::event_number::order_refused, {},
        {},
        {{"service", order.service}, {"data_centre", order.data_centre}, {"count", order.count}});
    if (result == intake_result::superseded) {
      members_.reject_token(holder.fencing_token);
    }
    if (!accepted) {
      plan_.failed(order);
    }
  });
}

} // namespace boragedoor::instance
