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

/// A request that waits for a place.
struct queued_request {
  std::uint64_t id = 0;
  std::string workspace;
  request_class kind = request_class::rollout;
  /// Priority after the budget (see `priority_budget`).
  int priority = 0;
  /// Tokens that are still expected.
  int tokens = 0;
  time_point queued;
  time_point deadline;
  /// Times it was paused; a paused stream goes before new rollouts of its workspace.
  int pauses = 0;
};

struct queue_options {
  std::size_t capacity = 512;
  /// Largest share of the queue that one workspace may fill while others wait.
  double workspace_share = 0.5;
  /// While both wait, at least one in this many places goes to a rollout.
  int rollout_turn = 8;
  /// A request that waited this long goes before the others of its workspace and class, whatever
  /// their priority. Every `aged_turn`th place of a class goes to the longest waiting of those,
  /// whatever its workspace was served: else a workspace that uses much interactive service might
  /// never get a rollout through.
  duration longest_wait = seconds(120);
  int aged_turn = 8;
};

/// Bounded queue of requests: interactive before rollouts, the worst-served workspace first, then
/// priority, then age. Rollouts keep a guaranteed share of the places.
class admission_queue {
public:
  /// Fails with `invalid_argument` on a zero capacity or turn or a share outside 0..1.
  static result<admission_queue> create(const queue_options& options);

  /// Fails with `overloaded` when the queue, or the workspace's part of it, is full.
  /// Paused streams always find a place.
  result<void> push(queued_request it);
  /// Fails like `push` when there is no room for a new request of the workspace.
  [[nodiscard]] result<void> room(std::string_view workspace) const;
  /// Takes the next request out, of either class or of the given one.
  std::optional<queued_request> pop(const fair_share& shares, time_point now);
  std::optional<queued_request> pop(request_class kind, const fair_share& shares, time_point now);
  /// Takes the requests whose deadline has passed out of the queue.
  std::vector<queued_request> expire(time_point now);
  bool remove(std::uint64_t id);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t size(request_class kind) const;
  /// Tokens expected of the requests that would go before a new one of this workspace and class.
  [[nodiscard]] double tokens_ahead(std::string_view workspace, request_class kind,
                                    const fair_share& shares, time_point now) const;

private:
  using line = std::deque<queued_request>;
  using lines = std::map<std::string, line, std::less<>>;
  explicit admission_queue(const queue_options& options) : options_(options) {}
  [[nodiscard]] const lines& of(request_class kind) const;
  lines& of(request_class kind);
  [[nodiscard]] std::size_t workspace_size(std::string_view workspace) const;
  [[nodiscard]] request_class next_class() const;
  queued_request take(request_class kind, const fair_share& shares, time_point now);
  lines::iterator choose_line(request_class kind, const fair_share& shares, time_point now);
  void expire(lines& from, time_point now, std::vector<queued_request>& out);

  queue_options options_;
  lines interactive_;
  lines rollouts_;
  std::size_t size_ = 0;
  /// No waiting request has an earlier deadline, so that `expire` mostly has nothing to look at.
  time_point earliest_deadline_ = time_point::max();
  int since_rollout_ = 0;
  /// Places of each class since the last one that went by age alone.
  std::array<int, 2> since_aged_{};
};

} // namespace boragedoor::admission
