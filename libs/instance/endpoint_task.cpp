#include "instance/endpoint_task.h"

#include <utility>
#include <vector>

namespace boragedoor::instance {

namespace {

/// Collects the changes of several endpoints into one watch call.
constexpr duration watch_pause = milliseconds(100);
/// Heartbeats that an endpoint misses in an outage of the store in which its entry expires.
constexpr int missed_heartbeats = 2;
constexpr duration tick_interval = milliseconds(250);

} // namespace

endpoint_task::endpoint_task(instance_context& context, const std::string& prefix,
                             endpoint_decoder decode, duration heartbeat)
    : context_(context), decode_(std::move(decode)),
      outage_({.min_outage = missed_heartbeats * heartbeat}),
      watch_(context.loop, context.store, prefix, {.wait = prompt_watch_wait, .pause = watch_pause},
             {.on_put = [this](const stored_item& it) { on_put(it); },
              .on_removed = [this](const std::string& key) { on_removed(key); },
              .on_synced = nullptr,
              .on_reachable =
                  [this](bool reachable) {
                    context_.record(reachable ? events::event_number::store_available
                                              : events::event_number::store_unavailable,
                                    {}, {}, {{"watch", "endpoints"}});
                  }}),
      timer_(context.loop, [this] { tick(); }) {
  timer_.start_periodic(tick_interval);
}

void endpoint_task::on_put(const stored_item& it) {
  unconfirmed_removals_.erase(it.key);
  auto entry = decode_(it.key, it.value);
  if (!entry) {
    remove_endpoint(it.key, "unreadable");
    return;
  }
  entry->key = it.key;
  entry->revision = it.revision;
  const routing::endpoint& description = entry->description;
  const auto* known = context_.endpoints.find(description.id);
  if (known == nullptr || known->process_start_ms != entry->process_start_ms) {
    context_.record(events::event_number::endpoint_added, {}, description.id,
                    {{"address", net::to_string(entry->address)},
                     {"pool", description.pool},
                     {"software", entry->software}});
  } else if (description.state == routing::endpoint_state::draining &&
             known->description.state != description.state) {
    context_.record(events::event_number::endpoint_draining, {}, description.id);
  }
  endpoint_ids_[it.key] = description.id;
  context_.endpoints.put(*entry);
  changed.emit();
}

void endpoint_task::on_removed(const std::string& key) {
  if (const auto until = outage_.hold_until(context_.loop.now())) {
    unconfirmed_removals_[key] = *until;
    tick();
    return;
  }
  remove_endpoint(key, "removed");
}

void endpoint_task::remove_endpoint(const std::string& key, std::string_view reason) {
  const auto it = endpoint_ids_.find(key);
  if (it == endpoint_ids_.end()) {
    return;
  }
  context_.record(events::event_number::endpoint_removed, {}, it->second, {{"reason", reason}});
  context_.endpoints.remove(it->second);
  endpoint_ids_.erase(it);
  changed.emit();
}

void endpoint_task::tick() {
  const time_point now = context_.loop.now();
  std::vector<std::string> due;
  for (const auto& [key, at] : unconfirmed_removals_) {
    if (at <= now) {
      due.push_back(key);
    }
  }
  for (const std::string& key : due) {
    unconfirmed_removals_.erase(key);
    remove_endpoint(key, "lapsed");
  }
  context_.endpoints.tick(now);
}

} // namespace boragedoor::instance
