#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/fair_share.h"
#include "admission/length_predictor.h"
#include "admission/priority_budget.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::admission {

/// A request with the values that its caller stated.
struct admission_request {
  std::uint64_t id = 0;
  std::string_view workspace{};
  request_class kind = request_class::rollout;
  int stated_tokens = 0;
  int stated_priority = 0;
  time_point deadline{};
  /// Whether the stream may be paused and later resumed at another endpoint from the text so far.
  bool can_pause = true;
};

/// The request was queued; `poll` reports when it starts or that it expired.
struct accepted {
  int expected_tokens = 0;
};

/// The request would miss its deadline, or the queue is full. By the current estimate, the same
/// request would be accepted after `retry_after`.
struct refused {
  duration retry_after{};
  /// "queue_full", "workspace_queue_full" or "deadline".
  std::string_view reason;
};

using admission_decision = std::variant<accepted, refused>;

/// Actions that the caller of `poll` must carry out.
struct admission_actions {
  /// Requests to send to an endpoint. A request that was paused before continues its stream.
  std::vector<std::uint64_t> start;
  /// Rollouts to pause: cancel the attempt and keep the text so far. They are already queued again.
  std::vector<std::uint64_t> pause;
  /// Requests whose deadline passed while they waited; they did not run.
  std::vector<std::uint64_t> expired;
};

struct admission_options {
  length_options length{};
  fair_share_options share{};
  priority_options priority{};
  queue_options queue{};
  /// Fraction of the concurrency limit that is reserved for interactive requests.
  double interactive_reserve = 0.02;
  /// Maximum number of times that one rollout is paused.
  int max_pauses = 2;
  /// Minimum time that a rollout runs before it may be paused, which limits the cost of moving it.
  duration min_run_time = seconds(2);
  /// Initial estimate of the tokens per second of one running request; completions refine it.
  double initial_place_rate = 40;
};

/// Admission control of one instance for one pool of endpoints. Combines length prediction, the
/// priority budget, fair shares and the queue, and limits how many requests the instance runs
/// concurrently on the pool.
class admission_controller {
public:
  /// Fails with `invalid_argument`; the message names the first component with invalid options.
  static result<admission_controller> create(const admission_options& options);

  void set_weight(std::string_view workspace, double weight);
  void set_fleet_usage(std::string_view workspace, double tokens, time_point now);
  /// Sets the maximum number of concurrent requests (see `max_running_of_instance`).
  void set_max_running(int max_running) { max_running_ = max_running; }

  admission_decision submit(const admission_request& request, time_point now);
  /// Starts, pauses and expires requests. Call it after each submission and completion, and when
  /// the concurrency limit changes.
  admission_actions poll(time_point now);
  /// Records the number of tokens that a running request has produced so far.
  void record_progress(std::uint64_t id, int tokens, time_point now);
  /// Ends a running request, whatever its outcome. `tokens` is the total number of tokens produced;
  /// `complete` tells whether they form a complete response.
  void finish(std::uint64_t id, int tokens, bool complete, time_point now);
  /// Removes a waiting or running request whose caller disconnected.
  void cancel(std::uint64_t id, time_point now);

  [[nodiscard]] const fair_share& shares() const { return shares_; }
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
  [[nodiscard]] int running() const { return running_total(); }
  /// Returns the expected time until the work ahead of a new request of this class is done.
  [[nodiscard]] duration expected_wait(std::string_view workspace, request_class kind,
                                       time_point now) const;
  [[nodiscard]] int predict(std::string_view workspace, request_class kind,
                            int stated_tokens) const;

private:
  struct tracked_request {
    queued_request request;
    bool can_pause = true;
    /// Tokens produced in all runs, and their number when the current run started.
    int tokens = 0;
    int tokens_at_start = 0;
    /// Tokens recorded as usage of the workspace.
    double charged_tokens = 0;
    time_point started;
  };
  admission_controller(const admission_options& options, length_predictor predictor,
                       fair_share shares, priority_budget budget, admission_queue queue);
  [[nodiscard]] static refused make_refusal(std::string_view reason, duration retry_after);
  bool start_next(time_point now, admission_actions& actions);
  void start(const queued_request& request, time_point now, admission_actions& actions);
  void charge(tracked_request& tracked, double total_tokens, time_point now);
  bool pause_one(time_point now, admission_actions& actions);
  [[nodiscard]] std::optional<std::uint64_t> select_pause_victim(time_point now) const;
  [[nodiscard]] int running_total() const { return static_cast<int>(running_.size()); }

  admission_options options_;
  length_predictor length_predictor_;
  fair_share shares_;
  priority_budget budget_;
  admission_queue queue_;
  /// Queued and running requests by id.
  std::map<std::uint64_t, tracked_request> waiting_;
  std::map<std::uint64_t, tracked_request> running_;
  int max_running_ = 1;
  /// Smoothed tokens per second of one running request, measured at completions.
  double tokens_per_second_;
};

/// Returns how many requests an instance may run: those that it runs now plus its share of the free
/// slots. All instances see about the same load, so each one takes only its share of the slots that
/// appear free. The result is never below an equal share of all slots: load reports can be older
/// than short requests last, and may count other instances' requests that have already ended.
int max_running_of_instance(int own_running, int total_slots, int total_outstanding, int instances);

} // namespace boragedoor::admission
