#pragma once

#include <memory>
#include <string>

#include "base/result.h"
#include "net/event_loop.h"
#include "settings/daemon_settings.h"

namespace boragedoor::daemon {

/// One instance: all tasks of the process, connected with each other.
class daemon {
public:
  /// Opens the listeners and starts all tasks. Fails with `io` when an address is in use or the
  /// event file cannot be opened.
  static result<std::unique_ptr<daemon>> create(net::event_loop& loop,
                                                settings::daemon_settings settings);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;
  daemon(daemon&&) = delete;
  daemon& operator=(daemon&&) = delete;

  [[nodiscard]] const net::address& callers_address() const;
  [[nodiscard]] const net::address& peers_address() const;

  /// Starts a graceful stop; the loop ends when nothing is left to do. A second call ends it at
  /// once.
  void drain();

private:
  struct impl;
  explicit daemon(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

} // namespace boragedoor::daemon
