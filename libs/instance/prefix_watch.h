#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "instance/durable_store.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Wait of watches whose news must be known soon: keys, routes and draining endpoints. A watch that
/// was sent just before a cut link healed may have been lost with it. It must end, with its slack,
/// within the three seconds after which the instance counts as connected again, so that the two
/// seconds for a change suffice.
inline constexpr duration prompt_watch_wait = seconds(2);
inline constexpr duration longest_lost_watch = seconds(3);

struct prefix_watch_options {
  /// Longest time that one call waits. It bounds how long a connection that has gone silent hides
  /// changes.
  duration wait = seconds(2);
  /// Pause between an answer and the next call, so that changes that follow each other cost one
  /// call.
  duration pause = duration::zero();
  /// Wait after a failed call; doubles up to the maximum.
  duration first_retry = milliseconds(100);
  duration longest_retry = seconds(1);
};

/// Follows all keys of a prefix: lists them, then watches for changes, and lists again when the
/// history that it needs is gone.
class prefix_watch {
public:
  struct observer {
    std::function<void(const stored_item&)> on_put;
    std::function<void(const std::string& key)> on_removed;
    /// Called after each answer, when all that it says was reported.
    std::function<void()> on_synced;
    /// The store stopped or started to answer.
    std::function<void(bool reachable)> on_reachable;
  };

  prefix_watch(net::event_loop& loop, durable_store& store, std::string prefix,
               const prefix_watch_options& options, observer seen);
  ~prefix_watch();
  prefix_watch(const prefix_watch&) = delete;
  prefix_watch& operator=(const prefix_watch&) = delete;
  prefix_watch(prefix_watch&&) = delete;
  prefix_watch& operator=(prefix_watch&&) = delete;

  void start();
  [[nodiscard]] bool is_started() const { return started_; }
  /// Changes the pause between an answer and the next call.
  void set_pause(duration pause) { options_.pause = pause; }
  /// Whether the prefix has been listed at least once.
  [[nodiscard]] bool is_synced() const { return synced_; }
  [[nodiscard]] bool is_reachable() const { return reachable_; }

private:
  void list(const std::string& after);
  void take_page(const list_answer& page);
  void finish_list();
  void watch();
  void take_events(const watch_answer& answer);
  void put(const stored_item& it);
  void remove(const std::string& key);
  void set_reachable(bool reachable);
  void retry(std::function<void()> step);
  void again_after(duration delay, std::function<void()> step);

  net::event_loop& loop_;
  durable_store& store_;
  std::string prefix_;
  prefix_watch_options options_;
  observer seen_;
  /// Keys known, with their revisions.
  std::map<std::string, std::uint64_t> known_;
  std::map<std::string, std::uint64_t> listed_;
  std::uint64_t revision_ = 0;
  std::uint64_t list_revision_ = 0;
  duration delay_{};
  bool started_ = false;
  bool synced_ = false;
  bool reachable_ = true;
  /// Answers that arrive after the destruction are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
