#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace boragedoor::requests {

/// No byte came within the deadline: give the attempt up and close its connection.
struct progress_expired {
  std::string attempt;
  std::uint64_t connection = 0;
};

/// Ask the endpoint for a sign of life on this idle connection.
struct send_probe {
  std::uint64_t connection = 0;
};

/// The probe was not answered: the connection is silent, though new ones may work.
struct close_silent {
  std::uint64_t connection = 0;
};

using progress_action = std::variant<progress_expired, send_probe, close_silent>;
using progress_actions = std::vector<progress_action>;

struct progress_options {
  /// An idle connection is probed this long after its last sign of life, so that a silent one is
  /// found before a request is sent on it.
  duration probe_interval = seconds(5);
  /// Endpoints are about 1 ms away; 1 s allows for a busy one.
  duration probe_timeout = seconds(1);
};

/// Finds connections that went silent, by deadlines and probes.
class progress_monitor {
public:
  explicit progress_monitor(progress_options options = {}) : options_(options) {}

  /// An attempt was sent on a connection. `first` is the deadline for the first byte (queueing and
  /// prefill at the endpoint), `next` the one for each further byte.
  void begin(time_point now, std::string attempt, std::uint64_t connection, duration first,
             duration next);
  /// Bytes of the attempt came.
  void progress(time_point now, const std::string& attempt);
  /// The attempt ended. Its connection is idle from now on, until `forget`.
  void finish(time_point now, const std::string& attempt);

  /// A connection is open without an attempt.
  void idle(time_point now, std::uint64_t connection);
  void probe_answered(time_point now, std::uint64_t connection);
  /// The connection is closed.
  void forget(std::uint64_t connection);

  progress_actions tick(time_point now);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;
  /// Whether a request may be sent on the idle connection: no probe is outstanding.
  [[nodiscard]] bool usable(std::uint64_t connection) const;

private:
  struct running_attempt {
    std::uint64_t connection = 0;
    duration next{};
    time_point deadline{};
  };
  struct idle_connection {
    bool probing = false;
    time_point at{};
  };

  progress_options options_;
  std::map<std::string, running_attempt> attempts_;
  std::map<std::uint64_t, idle_connection> idle_;
};

} // namespace boragedoor::requests
