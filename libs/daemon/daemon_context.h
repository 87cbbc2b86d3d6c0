#pragma once

#include <string>

#include "base/random.h"
#include "base/time.h"
#include "events/event_log.h"
#include "metrics/registry.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "settings/daemon_settings.h"

namespace boragedoor::daemon {

/// What every task of the process may use. Holds no state of a task.
struct daemon_context {
  net::event_loop& loop;
  net::http_client& http;
  const settings::daemon_settings& settings;
  events::event_log& log;
  metrics::registry& metrics;
  random_engine& random;
  /// Address in use for callers, with the real port.
  net::address callers;
  /// Random id of this process start.
  std::string boot_id;

  [[nodiscard]] time_point now() const { return loop.now(); }

  /// Records an event with the present times; returns its id.
  std::string record(events::event it) const {
    it.monotonic = loop.now();
    it.wall = wall_now();
    return log.record(std::move(it));
  }
};

} // namespace boragedoor::daemon
