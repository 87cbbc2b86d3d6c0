#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "admission/admission_controller.h"
#include "daemon/api_error.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/endpoint_task.h"
#include "daemon/engine_attempt.h"
#include "daemon/peer_task.h"
#include "requests/crash_suspects.h"
#include "requests/stream_relay.h"
#include "retry/retry_policy.h"
#include "usage/usage_figures.h"

namespace boragedoor::daemon {

/// A completion that a caller or a trainer asked for, after all checks.
struct completion_spec {
  std::string request_id;
  std::string workspace;
  /// Key that came with the request; empty for a trainer's samples, whose step was checked.
  std::string key_id;
  std::string request_class;
  bool interactive = false;
  /// A sample of a trainer's step. Samples never crash endpoints by themselves and are owed, so
  /// they are not among the crash suspects.
  bool is_sample = false;
  bool cheap_allowed = false;
  std::string pool;
  std::string model;
  std::string prompt;
  std::int64_t max_tokens = 0;
  int priority = 0;
  std::int64_t seed = 0;
  std::uint64_t minimum_version = 0;
  time_point deadline;
};

/// A whole completion.
struct completion_result {
  std::string text;
  std::string finish_reason;
  std::vector<std::uint64_t> weight_versions;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
};

struct completion_callbacks {
  /// A token in its place in the whole answer. May be empty.
  std::function<void(const requests::relayed_frame&)> on_token;
  std::function<void(const completion_result&)> on_complete;
  std::function<void(const api_error&)> on_failure;
};

/// Usage of finished work, complete or not.
struct usage_fact {
  usage::usage_key key;
  usage::usage_figures figures;
};

/// Owns the completions that run on this instance: admission, choice of an endpoint, attempts,
/// retries and resumption.
class completion_task {
public:
  static result<std::unique_ptr<completion_task>>
  create(const daemon_context& context, endpoint_task& endpoints, peer_task& peers);

  void on_configuration(const configuration_ptr& configuration);
  void on_keys_withdrawn(const std::vector<std::string>& key_ids);
  /// Ends all completions that came with a key, because withdrawals can no longer be known.
  void on_isolated();

  /// Starts a completion. Exactly one of `on_complete` and `on_failure` follows, possibly before
  /// this returns, unless the completion is cancelled. Returns its number.
  std::uint64_t submit(completion_spec spec, completion_callbacks callbacks);

  /// Cancels a completion whose caller has left; no callback follows.
  void cancel(std::uint64_t number);

  [[nodiscard]] std::size_t running() const { return active_.size(); }

  sigc::signal<void(const usage_fact&)>& used() { return used_; }

private:
  struct active_completion;
  using active_ptr = std::shared_ptr<active_completion>;
  using end_function = std::function<void()>;

  completion_task(const daemon_context& context, endpoint_task& endpoints, peer_task& peers,
                  retry::retry_policy retries);

  void tick();
  admission::admission_controller& controller(const std::string& pool);
  void poll(const std::string& pool);
  void dispatch(const active_ptr& it);
  void start_attempt(const active_ptr& it, const chosen_endpoint& endpoint);
  void on_frame(const active_ptr& it, const engine_frame& frame);
  void on_attempt_complete(const active_ptr& it, const engine_completion& completion);
  void on_attempt_failure(const active_ptr& it, const attempt_failure& failure);
  void check_crash(const active_ptr& it, const chosen_endpoint& endpoint,
                   const attempt_failure& failure);
  void after_failure(const active_ptr& it, const attempt_failure& failure);
  void end_attempt(active_completion& it, std::optional<routing::health_signal> evidence);
  void pause(const active_ptr& it);
  void fail(const active_ptr& it, const api_error& reason);
  void remove(const active_ptr& it, bool complete);
  void report_usage(active_completion& it, std::uint64_t prompt_tokens);
  void record(events::event_number number, const active_completion& it, json details = {});
  void on_peer_message(const std::string& peer, const json& message);
  void share_suspects(const std::vector<requests::crash_record>& records,
                      const std::string& except);
  void measure(const char* name, const char* help, const active_completion& it) const;
  [[nodiscard]] std::vector<std::string> running_on(const std::string& endpoint) const;
  [[nodiscard]] std::vector<std::string> endpoints_to_avoid(const active_completion& it) const;
  [[nodiscard]] std::optional<std::string> place_of_suspect(const active_completion& it) const;
  void separate_suspects();
  [[nodiscard]] static retry::executed executed_so_far(const active_completion& it);

  const daemon_context& context_;
  endpoint_task& endpoints_;
  peer_task& peers_;
  net::timer timer_;
  retry::retry_policy retries_;
  requests::crash_suspects suspects_;
  configuration_ptr configuration_;
  std::map<std::string, std::unique_ptr<admission::admission_controller>> controllers_;
  std::map<std::uint64_t, active_ptr> active_;
  /// Fingerprints whose attempt on an endpoint broke while it is not yet known whether the
  /// endpoint's process died.
  std::map<std::string, std::vector<std::string>> broken_;
  std::uint64_t last_number_ = 0;
  sigc::signal<void(const usage_fact&)> used_;
};

} // namespace boragedoor::daemon
