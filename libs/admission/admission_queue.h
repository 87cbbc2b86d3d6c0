#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/fair_share.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::admission {

enum class request_class { interactive, rollout };

/// A request that waits to be started.
struct queued_request {
  std::uint64_t id = 0;
  std::string workspace;
  request_class kind = request_class::rollout;
  /// Priority that the budget granted (see `priority_budget`).
  int priority = 0;
  /// Expected number of tokens still to be produced.
  int tokens = 0;
  time_point queued;
  time_point deadline;
  /// Number of times it was paused. Paused streams go before new rollouts of the same workspace and
  /// priority.
  int pauses = 0;
};

struct queue_options {
  std::size_t capacity = 512;
  /// Maximum fraction of the queue that one workspace may fill.
  double workspace_share = 0.5;
  /// While both classes wait, at least one of this many requests taken is a rollout.
  int rollout_turn = 8;
  /// A request that waited this long goes before the others of its workspace and class, regardless
  /// of priority. Every `aged_turn`th request taken from a class is the longest waiting of these,
  /// regardless of its workspace's usage. Otherwise a workspace with a high interactive usage might
  /// never get a rollout started.
  duration aging_threshold = seconds(120);
  int aged_turn = 8;
};

/// Bounded request queue. Orders requests by class (interactive first), then by workspace (lowest
/// usage relative to its weight first), priority, pauses and age. Rollouts are guaranteed a minimum
/// share of the starts.
class admission_queue {
public:
  /// Fails with `invalid_argument` if the capacity or a turn is zero or the share is not in (0, 1].
  static result<admission_queue> create(const queue_options& options);

  /// Fails with `overloaded` if the queue or the workspace's part of it is full. Paused streams are
  /// exempt from both limits.
  result<void> push(queued_request request);
  /// Fails with the error that `push` would return for a new request of the workspace.
  [[nodiscard]] result<void> check_capacity(std::string_view workspace) const;
  /// Removes and returns the next request, of either class or of the given one.
  std::optional<queued_request> pop(const fair_share& shares, time_point now);
  std::optional<queued_request> pop(request_class kind, const fair_share& shares, time_point now);
  /// Removes and returns the requests whose deadline has passed.
  std::vector<queued_request> expire(time_point now);
  bool remove(std::uint64_t id);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t size(request_class kind) const;
  /// Returns the expected tokens of all requests that would start before a new one of this
  /// workspace and class.
  [[nodiscard]] double tokens_ahead(std::string_view workspace, request_class kind,
                                    const fair_share& shares, time_point now) const;

private:
  using workspace_queue = std::deque<queued_request>;
  using workspace_queues = std::map<std::string, workspace_queue, std::less<>>;
  explicit admission_queue(const queue_options& options) : options_(options) {}
  [[nodiscard]] const workspace_queues& queues_of(request_class kind) const;
  workspace_queues& queues_of(request_class kind);
  [[nodiscard]] std::size_t workspace_size(std::string_view workspace) const;
  [[nodiscard]] request_class next_request_class() const;
  queued_request take_next(request_class kind, const fair_share& shares, time_point now);
  workspace_queues::iterator choose_workspace(request_class kind, const fair_share& shares,
                                              time_point now);
  void expire(workspace_queues& queues, time_point now, std::vector<queued_request>& expired);

  queue_options options_;
  workspace_queues interactive_;
  workspace_queues rollouts_;
  std::size_t size_ = 0;
  /// Lower bound of the deadlines in the queue; lets `expire` return early in most calls.
  time_point earliest_deadline_ = time_point::max();
  int pops_since_rollout_ = 0;
  /// Requests of each class taken since the last one that was chosen by age alone.
  std::array<int, 2> pops_since_aged_{};
};

} // namespace boragedoor::admission
