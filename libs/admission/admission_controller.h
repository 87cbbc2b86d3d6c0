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

/// A request as its caller states it.
struct admission_request {
  std::uint64_t id = 0;
  std::string_view workspace{};
  request_class kind = request_class::rollout;
  int stated_tokens = 0;
  int stated_priority = 0;
  time_point deadline{};
  /// Whether the stream may be paused and resumed elsewhere with the text so far.
  bool can_pause = true;
};

/// The request was accepted; `poll` says when it starts or that it is late.
struct accepted {
  int expected_tokens = 0;
};

/// The request would not complete in time, or finds no place. After `retry_after` the same request
/// is expected to be accepted, as far as is known now.
struct refused {
  duration retry_after{};
  /// "queue_full", "workspace_queue_full" or "deadline".
  std::string_view reason;
};

using admission_answer = std::variant<accepted, refused>;

/// What to do now.
struct admission_actions {
  /// Requests to send to an endpoint; a resumed one continues its stream.
  std::vector<std::uint64_t> start;
  /// Rollouts to pause: cancel the attempt and keep the text so far. They are queued again already.
  std::vector<std::uint64_t> pause;
  /// Requests whose deadline passed while they waited; they did not run.
  std::vector<std::uint64_t> late;
};

struct admission_options {
  length_options length{};
  fair_share_options share{};
  priority_options priority{};
  queue_options queue{};
  /// Share of the places that rollouts leave free for interactive requests.
  double interactive_reserve = 0.02;
  /// Pauses of one rollout; after them it runs to its end.
  int most_pauses = 2;
  /// A rollout runs at least this long before it may be paused, so that moves stay cheap.
  duration shortest_run = seconds(2);
  /// Tokens a second of one place, until real ones are measured.
  double initial_place_rate = 40;
};

/// Admission of one instance to one pool of endpoints: expected lengths, priority budget, fair
/// shares and the queue, together with the places (concurrent requests) that the instance may use
/// on its endpoints.
class admission_controller {
public:
  /// Fails with `invalid_argument` and the first part that refuses its options.
  static result<admission_controller> create(const admission_options& options);

  void set_weight(std::string_view workspace, double weight);
  void set_fleet_use(std::string_view workspace, double tokens, time_point now);
  /// Sets the places that this instance may use (see `places_of_instance`).
  void set_places(int n) { places_ = n; }

  admission_answer submit(const admission_request& it, time_point now);
  /// Starts, pauses and expires. Call after each submission, completion and change of places.
  admission_actions poll(time_point now);
  /// Notes tokens that a running request has produced so far.
  void progress(std::uint64_t id, int tokens, time_point now);
  /// Ends a running request, whatever its outcome; `tokens` is its whole real length.
  /// `complete` tells whether that length is that of a complete response.
  void finish(std::uint64_t id, int tokens, bool complete, time_point now);
  /// Forgets a waiting or running request whose caller went away.
  void cancel(std::uint64_t id, time_point now);

  [[nodiscard]] const fair_share& shares() const { return shares_; }
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
  [[nodiscard]] int running() const { return running_total(); }
  /// Expected time until the work ahead of a new request of this class is done.
  [[nodiscard]] duration expected_wait(std::string_view workspace, request_class kind,
                                       time_point now) const;
  [[nodiscard]] int predict(std::string_view workspace, request_class kind, int stated) const;

private:
  struct active {
    queued_request request;
    bool can_pause = true;
    /// Tokens produced so far in all runs, and those that earlier runs had produced.
    int tokens = 0;
    int tokens_at_start = 0;
    /// Tokens charged to the workspace's share.
    double charged = 0;
    time_point started;
  };
  admission_controller(const admission_options& options, length_predictor lengths,
                       fair_share shares, priority_budget budget, admission_queue queue);
  [[nodiscard]] static refused refusal(std::string_view reason, duration over);
  bool start_next(time_point now, admission_actions& out);
  void start(const queued_request& it, time_point now, admission_actions& out);
  void charge(active& it, double total, time_point now);
  bool pause_one(time_point now, admission_actions& out);
  [[nodiscard]] std::optional<std::uint64_t> pause_victim(time_point now) const;
  [[nodiscard]] int running_total() const { return static_cast<int>(running_.size()); }

  admission_options options_;
  length_predictor lengths_;
  fair_share shares_;
  priority_budget budget_;
  admission_queue queue_;
  /// Requests from submission to their end, by id.
  std::map<std::uint64_t, active> waiting_;
  std::map<std::uint64_t, active> running_;
  int places_ = 1;
  /// Tokens a second of one place, as completed requests show it.
  double place_rate_;
};

/// Places that an instance may use: what it uses now and its part of the free ones. All instances
/// read about the same load, so each takes only its part of what it sees free. Never less than an
/// equal part: reports are older than short requests take, and may show others' load that is gone.
int places_of_instance(int own_running, int total_places, int total_outstanding, int instances);

} // namespace boragedoor::admission
