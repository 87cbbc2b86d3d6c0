#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::routing {

/// An `ejected` endpoint is used only when no other one is left; events and status responses call
/// it "set_aside". On `probation`, after an ejection, it serves probes until it is healthy again.
enum class health_state { healthy, ejected, probation };

/// An observation of an endpoint's behaviour.
enum class health_signal {
  success,
  /// The connection was refused or closed, or the endpoint reported an internal error.
  failure,
  /// No byte arrived within the progress timeout.
  progress_timeout,
  /// The response carries another attempt's id or violates the protocol.
  invalid_response,
  /// The endpoint's load report is overdue.
  stale_report,
};

struct health_options {
  /// Suspicion at which an endpoint is ejected. A failure adds 1, a progress timeout 2, an invalid
  /// response 3 and a stale report 0.5. A success reduces the suspicion by a fifth, so that an
  /// endpoint that fails 30 % of its requests is ejected and one that fails 10 % is not.
  double suspicion_threshold = 3;
  /// Time in which the suspicion halves without further signals.
  duration half_life = seconds(20);
  /// An endpoint is slow when its latency is at least this multiple of its pool's median.
  double slow_factor = 3;
  /// Latency samples needed before an endpoint is compared with its pool.
  int min_latency_samples = 8;
  /// Duration of the first ejection. It doubles, up to `max_ejection_time`, when the endpoint is
  /// ejected again within `ejection_backoff_window` of its last state change.
  duration base_ejection_time = seconds(5);
  duration max_ejection_time = seconds(120);
  duration ejection_backoff_window = seconds(300);
  /// Consecutive successes that end probation. Without any failure, probation also ends after
  /// `max_probation_time`, since an endpoint may receive no requests to probe it.
  int min_probation_successes = 3;
  duration max_probation_time = seconds(30);
  /// Largest share of a pool that may be ejected or on probation at a time, not counting endpoints
  /// that are ejected with their data centre.
  double max_ejected_share = 0.34;
  /// A data centre counts as failed for a pool when at least this share of its endpoints in the
  /// pool, and at least two, failed or were ejected within `data_centre_failure_window`.
  double data_centre_failure_share = 0.75;
  duration data_centre_failure_window = seconds(10);
  /// Largest share of a pool that may be ejected because of failed data centres. The rest always
  /// stays in service.
  double max_data_centre_ejected_share = 0.67;
};

/// A state transition, which the caller records as an event.
struct health_change {
  std::string endpoint;
  health_state from = health_state::healthy;
  health_state to = health_state::healthy;
  /// "failures", "slow", "data_centre", "retry" or "recovered".
  std::string_view reason;
};

/// Tracks the health of endpoints from successes and failures and ejects outliers.
/// `max_ejected_share` limits ejections for independent failures. Simultaneous failures in one data
/// centre are handled as a single failure and may eject more, but never a whole pool.
class endpoint_health {
public:
  /// Fails with `invalid_argument` when a share is outside 0..1, `slow_factor` is not above 1, or
  /// the threshold, a count, `half_life` or `base_ejection_time` is not positive.
  static result<endpoint_health> create(const health_options& options);

  /// Adds an endpoint. A known endpoint keeps its health record.
  void add(std::string_view endpoint, std::string_view data_centre, std::string_view pool);
  void remove(std::string_view endpoint);

  void record(std::string_view endpoint, health_signal signal, time_point now);
  /// Records the duration of a successful request and its work (response tokens, or 1 for a plain
  /// call), for comparison within the pool. Longer requests weigh more, because the duration of a
  /// short one is mostly queueing.
  void record_latency(std::string_view endpoint, duration took, double work, time_point now);

  /// Applies due state transitions and returns them. Call about once a second and after each
  /// failure signal.
  std::vector<health_change> update(time_point now);

  /// Returns `healthy` for unknown endpoints.
  [[nodiscard]] health_state state(std::string_view endpoint) const;
  [[nodiscard]] bool usable(std::string_view endpoint) const {
    return state(endpoint) == health_state::healthy;
  }
  [[nodiscard]] double suspicion(std::string_view endpoint, time_point now) const;
  /// Latency per unit of work relative to the pool's median; 1 when unknown.
  [[nodiscard]] double relative_latency(std::string_view endpoint) const;

private:
  struct endpoint_record {
    std::string data_centre;
    std::string pool;
    health_state state = health_state::healthy;
    double suspicion = 0;
    time_point suspicion_at;
    /// Times of the last failure and the last success signal.
    std::optional<time_point> last_failure;
    std::optional<time_point> last_success;
    time_point state_changed_at;
    duration ejection_time{};
    int consecutive_successes = 0;
    /// Exponentially decayed sums over successful requests, and the number of requests since the
    /// last state transition other than an ejection.
    double latency_seconds = 0;
    double latency_work = 0;
    int latency_samples = 0;
    double relative_latency = 1;
    bool ejected_with_data_centre = false;
  };
  using record_map = std::map<std::string, endpoint_record, std::less<>>;
  using record_entry = record_map::value_type;
  using pool_entries = std::vector<record_entry*>;
  using changes = std::vector<health_change>;

  explicit endpoint_health(const health_options& options) : options_(options) {}
  void compare_latencies(const pool_entries& pool) const;
  void eject_failed_data_centres(const pool_entries& pool, time_point now, changes& out) const;
  void eject_failed_data_centre(const pool_entries& pool, const pool_entries& members,
                                time_point now, changes& out) const;
  void eject_suspects(const pool_entries& pool, time_point now, changes& out) const;
  void advance_state(record_entry& it, time_point now, changes& out) const;
  void transition(record_entry& it, health_state to, std::string_view reason, time_point now,
                  changes& out) const;
  [[nodiscard]] std::size_t remaining_ejections(const pool_entries& pool, double share,
                                                bool include_data_centres) const;
  [[nodiscard]] static double latency_per_unit(const endpoint_record& it) {
    return it.latency_seconds / it.latency_work;
  }
  [[nodiscard]] bool is_slow(const endpoint_record& it) const;
  [[nodiscard]] bool failed_recently(const endpoint_record& it, time_point now) const;
  [[nodiscard]] double decayed_suspicion(const endpoint_record& it, time_point now) const;

  health_options options_;
  record_map records_;
};

} // namespace boragedoor::routing
