#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <sigc++/signal.h>

#include "dispatch/registry_outage.h"
#include "instance/instance_context.h"
#include "instance/prefix_watch.h"

namespace boragedoor::instance {

/// Decodes a registry entry. Returns nothing if it describes no usable endpoint.
using endpoint_decoder = std::function<std::optional<dispatch::endpoint_entry>(
    std::string_view key, std::string_view value)>;

/// Watches the endpoint registry in the store and applies its changes to the endpoint table.
class endpoint_task {
public:
  /// `heartbeat` is the interval at which endpoints write their entries.
  endpoint_task(instance_context& context, const std::string& prefix, endpoint_decoder decode,
                duration heartbeat);

  void start() { watch_.start(); }
  /// Sets the pause between watch calls, which depends on the number of instances.
  void set_watch_pause(duration pause) { watch_.set_pause(pause); }
  /// Records that the store answered a call of this instance.
  void note_store_answer(time_point now) { outage_.note_answer(now); }

  /// Emitted when an endpoint was added, removed or changed.
  sigc::signal<void()> changed;

private:
  void on_put(const stored_item& it);
  void on_removed(const std::string& key);
  void remove_endpoint(const std::string& key, std::string_view reason);
  void tick();

  instance_context& context_;
  endpoint_decoder decode_;
  /// Endpoint ids by registry key.
  std::map<std::string, std::string> endpoint_ids_;
  /// Entries removed from the registry shortly after a store outage, with the time at which their
  /// endpoints are removed unless the entries are back.
  std::map<std::string, time_point> unconfirmed_removals_;
  dispatch::registry_outage outage_;
  prefix_watch watch_;
  net::timer timer_;
};

} // namespace boragedoor::instance
