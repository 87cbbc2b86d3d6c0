#pragma once

#include <functional>

#include "daemon/daemon_context.h"

namespace boragedoor::daemon {

/// Leads a graceful stop: waits until callers no longer use kept answers, until the running
/// requests have ended, until the shards are handed over and the usage is flushed.
class drain_task {
public:
  /// What a stop has to wait for and to do.
  struct hooks {
    /// Leaves the address lookup and tells the other instances.
    std::function<void()> leave_lookup;
    /// Requests that have no whole answer yet.
    std::function<std::size_t()> open_requests;
    std::function<void()> release_shards;
    std::function<bool()> shards_released;
    std::function<bool()> usage_confirmed;
    std::function<void()> finished;
  };

  drain_task(const daemon_context& context, hooks wanted);

  /// Starts the stop; a second call ends it at once.
  void start();
  [[nodiscard]] bool is_draining() const { return phase_ != phase::idle; }

private:
  enum class phase { idle, announced, releasing, finished };

  void tick();
  void finish();

  const daemon_context& context_;
  hooks hooks_;
  net::timer timer_;
  phase phase_ = phase::idle;
  time_point started_;
};

} // namespace boragedoor::daemon
