#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "dispatch/connection_check.h"
#include "net/http_types.h"
#include "routing/endpoint_process.h"

namespace boragedoor::dispatch {

/// An attempt of a caller's request that was sent to an endpoint and got no complete response.
struct broken_attempt {
  routing::endpoint_process process;
  std::string request;
  /// See `requests::request_fingerprint`.
  std::string fingerprint;
};

/// A process of an endpoint that the registry names.
struct registered_process {
  routing::endpoint_process process;
  net::address address;
};

struct crash_check_options {
  /// Time between two connections to an endpoint of which it is not known whether it crashed.
  duration check_interval = milliseconds(250);
  /// Time after which the registry names the process that took a connection. Entries expire after
  /// three heartbeats, and changes take up to two seconds to arrive.
  duration registry_delay = seconds(6);
  /// Time after which an attempt without a verdict is given up.
  duration retention = std::chrono::minutes(10);
  /// Maximum number of attempts; the oldest are given up first.
  std::size_t capacity = 1024;
};

/// Finds out which processes of endpoints ended under attempts that broke off.
///
/// A connection tells whether an endpoint runs now, unless this instance is cut off. It does not
/// tell which process took it, because a crashed endpoint may be back at its address; the registry
/// does, a few seconds later. An attempt whose process may have ended counts as a crash until the
/// opposite is known.
class crash_checks {
public:
  explicit crash_checks(const crash_check_options& options = {}) : options_(options) {}

  /// Adds an attempt. A connection to the endpoint is due.
  void add(broken_attempt attempt, const net::address& endpoint, time_point now);

  struct due_check {
    routing::endpoint_process process;
    net::address address;
  };
  /// Returns the endpoints that have to be connected to, and notes that this is done.
  [[nodiscard]] std::vector<due_check> take_due(time_point now);

  /// Records how the connection to an endpoint went. `wall` is the time of day. Returns the
  /// attempts under which the process ended.
  std::vector<broken_attempt> note_checked(const routing::endpoint_process& process,
                                           connection_check state, time_point now, wall_time wall);

  /// Compares the attempts with the processes that the registry names. Returns those under which
  /// the process ended.
  std::vector<broken_attempt> note_registry(std::span<const registered_process> registered);

  /// Removes attempts that need no verdict any more. Returns those that are given up without one.
  std::vector<broken_attempt> expire(time_point now);

  /// Removes the attempts of a request that has completed.
  void forget(std::string_view fingerprint);

  /// Returns the processes that may have ended under attempts of a request.
  [[nodiscard]] std::set<routing::endpoint_process> unconfirmed(std::string_view fingerprint) const;

  [[nodiscard]] bool is_empty() const { return checks_.empty(); }

private:
  struct attempt_state {
    broken_attempt attempt;
    time_point added_at;
    /// Whether a connection gave no verdict.
    bool unknown = false;
    /// When a process took a connection, which may have been the next one.
    std::optional<wall_time> connected_wall{};
    time_point connected_at{};

    [[nodiscard]] bool needs_check() const { return !connected_wall; }
  };
  struct process_check {
    net::address address;
    bool in_progress = false;
    time_point started_at;
    time_point due_at;
    std::vector<attempt_state> attempts;

    [[nodiscard]] bool needs_check() const;
  };

  /// Moves the attempts that `selects` returns true for to the result.
  template <class Predicate>
  std::vector<broken_attempt> take(const routing::endpoint_process& process, Predicate&& selects);

  crash_check_options options_;
  std::map<routing::endpoint_process, process_check> checks_;
};

} // namespace boragedoor::dispatch
