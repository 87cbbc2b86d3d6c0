#include "instance/endpoint_task.h"

#include <utility>
#include <vector>

namespace boragedoor::instance {

namespace {

/// Collects the changes of several endpoints into one watch call.
constexpr duration watch_pause = milliseconds(100);
/// Running endpoints restore entries that expired in a store outage within this time after the
/// store is reachable again.
constexpr duration registration_grace_period = seconds(2);
/// Removals within this time after an outage may be of entries that expired in it.
constexpr duration recovery_period = seconds(3);
constexpr duration tick_interval = milliseconds(250);

} // namespace

endpoint_task::endpoint_task(instance_context& context, const std::string& prefix,
                             endpoint_decoder decode)
    : context_(context), decode_(std::move(decode)),
      watch_(context.loop, context.store, prefix, {.wait = prompt_watch_wait, .pause = watch_pause},
             {.on_put = [this](const stored_item& it) { on_put(it); },
              .on_removed = [this](const std::string& key) { on_removed(key); },
              .on_synced = nullptr,
              .on_reachable =
                  [this](bool reachable) {
                    if (reachable) {
                      reachable_since_ = context_.loop.now();
                    }
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
  const time_point now = context_.loop.now();
  if (reachable_since_ && now - *reachable_since_ < recovery_period) {
    unconfirmed_removals_[key] = *reachable_since_ + registration_grace_period;
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
