#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace boragedoor::requests {

/// No byte arrived before the deadline. The caller must abort the attempt and close its connection.
struct attempt_timed_out {
  std::string attempt;
  std::uint64_t connection = 0;
};

/// The caller must send a probe on this idle connection.
struct send_probe {
  std::uint64_t connection = 0;
};

/// A probe was not answered. The caller must close the connection; a new connection to the same
/// endpoint may still work.
struct close_unresponsive {
  std::uint64_t connection = 0;
};

using progress_action = std::variant<attempt_timed_out, send_probe, close_unresponsive>;
using progress_actions = std::vector<progress_action>;

struct progress_options {
  /// An idle connection is probed this long after its last activity, so that an unresponsive one is
  /// detected before a request is sent on it.
  duration probe_interval = seconds(5);
  /// The round trip to an endpoint takes about 1 ms; 1 s allows for a busy endpoint.
  duration probe_timeout = seconds(1);
};

/// Detects unresponsive connections by progress deadlines and probes.
class progress_monitor {
public:
  explicit progress_monitor(progress_options options = {}) : options_(options) {}

  /// Starts monitoring an attempt that was sent on a connection. `first_byte_timeout` covers
  /// queueing and prefill at the endpoint; `next_byte_timeout` is the maximum gap between later
  /// bytes.
  void begin(time_point now, std::string attempt, std::uint64_t connection,
             duration first_byte_timeout, duration next_byte_timeout);
  /// Records that bytes of the attempt arrived.
  void progress(time_point now, const std::string& attempt);
  /// Ends the attempt. Its connection is monitored as idle until the next `begin` or
  /// `remove_connection`.
  void finish(time_point now, const std::string& attempt);

  /// Starts monitoring an open connection that has no attempt.
  void add_idle(time_point now, std::uint64_t connection);
  void probe_answered(time_point now, std::uint64_t connection);
  /// Stops monitoring a connection that was closed, together with its attempt.
  void remove_connection(std::uint64_t connection);

  progress_actions tick(time_point now);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;
  /// Returns whether a request may be sent on the connection, that is, whether it is idle and has
  /// no outstanding probe.
  [[nodiscard]] bool is_usable(std::uint64_t connection) const;

private:
  struct running_attempt {
    std::uint64_t connection = 0;
    duration next_byte_timeout{};
    time_point deadline{};
  };
  struct idle_connection {
    bool probe_outstanding = false;
    time_point due{};
  };

  progress_options options_;
  std::map<std::string, running_attempt> attempts_;
  std::map<std::uint64_t, idle_connection> idle_;
};

} // namespace boragedoor::requests
