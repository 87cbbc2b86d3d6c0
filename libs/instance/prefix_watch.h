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

/// Wait of watches whose changes must be applied quickly: keys, routes and draining endpoints. A
/// watch sent just before a broken link recovers may be lost. Including its timeout slack, it must
/// end within the three seconds after which the instance counts as connected again, so that a
/// change still takes effect within the two seconds allowed for it. It is repeated at once then.
inline constexpr duration prompt_watch_wait = seconds(2);
inline constexpr duration max_lost_watch_time = seconds(3);

struct prefix_watch_options {
  /// Maximum wait of one watch call. It bounds the time for which an unresponsive connection delays
  /// changes.
  duration wait = seconds(2);
  /// Pause between a response with changes and the next call, so that one call returns several
  /// changes made in quick succession.
  duration pause = duration::zero();
  /// Shortest time from a failed call to its repetition; doubles up to `max_retry_delay`.
  duration min_retry_delay = milliseconds(100);
  duration max_retry_delay = seconds(1);
};

/// Follows all keys of a prefix: lists them, then watches for changes, and lists them again if the
/// store no longer has the history that the watch needs.
class prefix_watch {
public:
  struct observer {
    std::function<void(const stored_item&)> on_put;
    std::function<void(const std::string& key)> on_removed;
    /// Called after all changes of a complete list or of a watch response were reported.
    std::function<void()> on_synced;
    /// Called when the store stops or starts to respond.
    std::function<void(bool reachable)> on_reachable;
  };

  prefix_watch(net::event_loop& loop, durable_store& store, std::string prefix,
               const prefix_watch_options& options, observer callbacks);
  ~prefix_watch();
  prefix_watch(const prefix_watch&) = delete;
  prefix_watch& operator=(const prefix_watch&) = delete;
  prefix_watch(prefix_watch&&) = delete;
  prefix_watch& operator=(prefix_watch&&) = delete;

  void start();
  [[nodiscard]] bool is_started() const { return started_; }
  /// Sets the pause between a response with changes and the next call.
  void set_pause(duration pause) { options_.pause = pause; }
  /// Whether the prefix has been listed at least once.
  [[nodiscard]] bool is_synced() const { return synced_; }
  [[nodiscard]] bool is_reachable() const { return reachable_; }

private:
  void list(const std::string& after);
  void apply_page(const list_answer& page);
  void finish_list();
  void watch();
  void apply_events(const watch_answer& answer);
  void put(const stored_item& it);
  void remove(const std::string& key);
  void set_reachable(bool reachable);
  void retry(time_point now, std::function<void()> step);
  void run_after(duration delay, std::function<void()> step);

  net::event_loop& loop_;
  durable_store& store_;
  std::string prefix_;
  prefix_watch_options options_;
  observer callbacks_;
  /// Revision of each known key.
  std::map<std::string, std::uint64_t> known_revisions_;
  std::map<std::string, std::uint64_t> listed_revisions_;
  std::uint64_t revision_ = 0;
  std::uint64_t list_revision_ = 0;
  duration retry_delay_{};
  /// When the last call was sent.
  time_point call_sent_{};
  bool started_ = false;
  bool synced_ = false;
  bool reachable_ = true;
  /// Set to false on destruction, so that later responses are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
