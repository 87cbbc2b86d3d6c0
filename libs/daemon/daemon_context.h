#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

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
  /// Ends with the instance, so that calls it left on the loop are dropped and do not reach
  /// destroyed tasks.
  std::shared_ptr<const bool> lifetime = std::make_shared<const bool>(true);

  [[nodiscard]] time_point now() const { return loop.now(); }

  /// Calls `fn` from the loop, unless the instance has ended by then.
  void post(std::function<void()> fn) const { loop.post(while_alive(std::move(fn))); }

  /// Calls `fn` from the loop after `delay`, unless the instance has ended by then.
  void post_after(duration delay, std::function<void()> fn) const {
    loop.post_after(delay, while_alive(std::move(fn)));
  }

  /// Records an event with the present times; returns its id.
  std::string record(events::event it) const {
    it.monotonic = loop.now();
    it.wall = wall_now();
    return log.record(std::move(it));
  }

private:
  [[nodiscard]] std::function<void()> while_alive(std::function<void()> fn) const {
    return [alive = std::weak_ptr<const bool>(lifetime), fn = std::move(fn)] {
      if (!alive.expired()) {
        fn();
      }
    };
  }
};

} // namespace boragedoor::daemon
