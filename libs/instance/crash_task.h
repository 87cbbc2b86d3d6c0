#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/crash_checks.h"
#include "instance/instance_context.h"
#include "instance/prefix_watch.h"
#include "requests/crash_suspects.h"

namespace boragedoor::instance {

/// Prefix of the crash records in the store.
inline constexpr std::string_view crash_prefix = "boragedoor/crashes/";

/// Finds out which callers' requests crash the endpoints that run them, and tells the instances not
/// to send them any more.
///
/// Design note: the records are in the store, because callers come again at any instance, also
/// after all instances were killed. A request that completes has its records removed: it ran beside
/// others at endpoints that crashed. Crashes that are not confirmed yet count at this instance
/// only.
class crash_task {
public:
  explicit crash_task(instance_context& context);
  ~crash_task() { *alive_ = false; }
  crash_task(const crash_task&) = delete;
  crash_task& operator=(const crash_task&) = delete;
  crash_task(crash_task&&) = delete;
  crash_task& operator=(crash_task&&) = delete;

  /// Finds out whether the process of an endpoint ended under an attempt that had been sent to it
  /// and got no complete response.
  void check(dispatch::broken_attempt attempt);

  /// Records that an endpoint completed the request, so that it does not crash endpoints. An error
  /// of an endpoint does not tell, because it may have failed before it ran the request.
  void note_completed(const std::string& fingerprint);
  /// Whether an endpoint crashed under the request since it last completed.
  [[nodiscard]] bool is_suspect(const std::string& fingerprint) const {
    return suspects_.is_suspect(fingerprint) || !checks_.unconfirmed(fingerprint).empty();
  }
  /// Whether so many endpoints crashed under the request that it must not be sent to another one.
  [[nodiscard]] bool is_held(const std::string& fingerprint) const;

  void start() { watch_.start(); }
  /// Sets the pause between watch calls, which depends on the number of instances.
  void set_watch_pause(duration pause) { watch_.set_pause(pause); }

private:
  using record_list = std::vector<requests::crash_record>;

  /// Connects to the endpoints whose check is due.
  void run_checks();
  void on_checked(const routing::endpoint_process& process, dispatch::connection_check state);
  /// Compares open checks with the registry, and repeats those without a verdict.
  void on_check_timer();
  void record_crashes(const std::vector<dispatch::broken_attempt>& attempts,
                      std::string_view evidence);
  void on_put(const stored_item& it);
  void on_removed(const std::string& key);
  /// Logs that the other instances do not learn of a crash.
  void note_not_stored(const requests::crash_record& record, std::string_view reason);
  /// Stores the records that wait, and removes those that are obsolete.
  void store_records();
  void remove_obsolete();
  void commit_records(std::uint64_t lease);
  /// Handles the outcome of storing `batch`.
  void on_stored(const record_list& batch, store_status status);

  instance_context& context_;
  requests::crash_suspects suspects_;
  dispatch::crash_checks checks_;
  /// Records in the store by their keys.
  std::map<std::string, requests::crash_record> stored_;
  /// Records to be stored, the oldest first.
  std::deque<requests::crash_record> unstored_;
  /// Keys of the records of requests that have completed, to be removed from the store.
  std::set<std::string> obsolete_;
  /// Whether a call that stores or removes records is in progress.
  bool storing_ = false;
  prefix_watch watch_;
  net::timer retry_timer_;
  net::timer check_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
