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

enum class health_state { healthy, set_aside, probation };

/// One observation of an endpoint.
enum class evidence {
  success,
  /// Connection refused or closed, or an error that is the endpoint's own.
  failure,
  /// No byte within the progress deadline.
  progress_timeout,
  /// A response that carries another attempt's id or breaks the protocol.
  wrong_answer,
  /// No fresh load report within its due time.
  stale_report,
};

struct health_options {
  /// Suspicion at which an endpoint is set aside. A failure counts 1, a timeout 2, a wrong answer
  /// 3 and a stale report 0.5; a success takes a fifth off the suspicion, so that an endpoint that
  /// fails three requests in ten is set aside and one that fails one in ten is not.
  double threshold = 3;
  /// Suspicion halves within this time without further evidence.
  duration half_life = seconds(20);
  /// An endpoint this many times slower than the median of its pool counts as slow.
  double slow_factor = 3;
  /// Latency samples an endpoint needs before it is compared with its peers.
  int slow_samples = 8;
  /// First time set aside; doubles at each return within `probation_memory`, up to the maximum.
  duration first_set_aside = seconds(5);
  duration longest_set_aside = seconds(120);
  duration probation_memory = seconds(300);
  /// Successes in a row that end probation, and the time that ends it without bad evidence where
  /// no request comes to probe.
  int probation_successes = 3;
  duration longest_probation = seconds(30);
  /// Largest share of a pool that may be set aside at a time, data centre failures aside.
  double largest_share = 0.34;
  /// A data centre counts as failed when at least this share of its endpoints of a pool, and at
  /// least two, became suspect within `data_centre_window`.
  double data_centre_share = 0.75;
  duration data_centre_window = seconds(10);
  /// Largest share of a pool that failed data centres may take out. The rest always serves.
  double largest_data_centre_share = 0.67;
};

/// A change that the caller records as an event.
struct health_change {
  std::string endpoint;
  health_state from = health_state::healthy;
  health_state to = health_state::healthy;
  /// "failures", "slow", "data_centre", "retry" or "recovered".
  std::string_view reason;
};

/// Judges endpoints from evidence in both directions. Many small failures are limited by
/// `largest_share`; one data centre's simultaneous failure is treated as one and may take out more,
/// but never all of a pool.
class endpoint_health {
public:
  /// Fails with `invalid_argument` when a share is outside 0..1 or a count or time is not positive.
  static result<endpoint_health> create(const health_options& options);

  /// Starts to judge an endpoint; a known one keeps its record.
  void add(std::string_view endpoint, std::string_view data_centre, std::string_view pool);
  void remove(std::string_view endpoint);

  void record(std::string_view endpoint, evidence it, time_point now);
  /// Records how long a successful request took for its work (tokens of a response, or 1 for a
  /// plain call), for comparison with peers of the same pool. Longer requests count for more,
  /// because the time of a short one is mostly waiting.
  void record_pace(std::string_view endpoint, duration took, double work, time_point now);

  /// Applies what time and evidence call for and returns the changes. Call about once a second and
  /// after evidence against an endpoint.
  std::vector<health_change> update(time_point now);

  /// Unknown endpoints are healthy.
  [[nodiscard]] health_state state(std::string_view endpoint) const;
  [[nodiscard]] bool usable(std::string_view endpoint) const {
    return state(endpoint) == health_state::healthy;
  }
  [[nodiscard]] double suspicion(std::string_view endpoint, time_point now) const;
  /// Typical pace relative to the pool's median; 1 when unknown.
  [[nodiscard]] double relative_pace(std::string_view endpoint) const;

private:
  struct judged {
    std::string data_centre;
    std::string pool;
    health_state state = health_state::healthy;
    double suspicion = 0;
    time_point suspicion_at;
    /// Of the last evidence in each direction.
    std::optional<time_point> last_bad;
    std::optional<time_point> last_good;
    time_point changed_at;
    duration set_aside_for{};
    int good_in_a_row = 0;
    /// Decayed sums over successful requests, and their number since the last verdict.
    double pace_seconds = 0;
    double pace_work = 0;
    int pace_samples = 0;
    double relative_pace = 1;
    bool by_data_centre = false;
  };
  using judgements = std::map<std::string, judged, std::less<>>;
  using member = judgements::value_type;
  using pool_members = std::vector<member*>;
  using changes = std::vector<health_change>;

  explicit endpoint_health(const health_options& options) : options_(options) {}
  void compare_paces(const pool_members& pool) const;
  void fail_data_centres(const pool_members& pool, time_point now, changes& out) const;
  void fail_data_centre(const pool_members& pool, const pool_members& members, time_point now,
                        changes& out) const;
  void set_aside_suspects(const pool_members& pool, time_point now, changes& out) const;
  void advance(member& it, time_point now, changes& out) const;
  void move(member& it, health_state to, std::string_view reason, time_point now,
            changes& out) const;
  [[nodiscard]] std::size_t places_left(const pool_members& pool, double share,
                                        bool data_centres_too) const;
  [[nodiscard]] static double pace(const judged& it) { return it.pace_seconds / it.pace_work; }
  [[nodiscard]] bool is_slow(const judged& it) const;
  [[nodiscard]] bool down_recently(const judged& it, time_point now) const;
  [[nodiscard]] double decayed(const judged& it, time_point now) const;

  health_options options_;
  judgements judged_;
};

} // namespace boragedoor::routing
