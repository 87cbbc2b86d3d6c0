#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <sigc++/signal.h>

#include "instance/instance_context.h"
#include "instance/prefix_watch.h"

namespace boragedoor::instance {

/// Reads one entry of the registry; nothing if it names no endpoint that could be used.
using endpoint_decoder = std::function<std::optional<dispatch::endpoint_entry>(
    std::string_view key, std::string_view value)>;

/// Follows the registry of endpoints.
class endpoint_task {
public:
  endpoint_task(instance_context& context, const std::string& prefix, endpoint_decoder decode);

  void start() { watch_.start(); }
  /// Adapts the pauses of the watch to the number of instances.
  void set_watch_pause(duration pause) { watch_.set_pause(pause); }

  /// An endpoint came, went or changed.
  sigc::signal<void()> changed;

private:
  void put(const stored_item& it);
  void remove(const std::string& key);
  void remove_now(const std::string& key, std::string_view reason);
  void check();

  instance_context& context_;
  endpoint_decoder decode_;
  /// Endpoint ids by key.
  std::map<std::string, std::string> ids_;
  /// Entries that vanished around an outage of the store, with the time at which they are dropped.
  std::map<std::string, time_point> doubtful_;
  std::optional<time_point> reachable_since_;
  prefix_watch watch_;
  net::timer timer_;
};

} // namespace boragedoor::instance
