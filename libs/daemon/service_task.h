#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "daemon/api_error.h"
#include "daemon/completion_task.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/endpoint_task.h"
#include "daemon/store_executor.h"
#include "net/http_client.h"
#include "requests/idempotency_table.h"
#include "retry/retry_policy.h"

namespace boragedoor::daemon {

/// A call of a plain service, after all checks.
struct service_call_spec {
  std::string request_id;
  /// Empty on open routes.
  std::string workspace;
  std::string key_id;
  std::string service;
  std::string pool;
  std::string method;
  /// Path and query as the endpoint gets them.
  std::string path;
  std::string content_type;
  std::string body;
  bool idempotent = false;
  /// Empty when the caller sent none.
  std::string idempotency_key;
  time_point deadline;
};

/// The answer of the endpoint.
struct service_answer {
  int status = 0;
  std::string content_type;
  std::string body;
};

struct service_callbacks {
  std::function<void(const service_answer&)> on_answer;
  std::function<void(const api_error&)> on_failure;
};

/// Owns the calls of plain services that run on this instance. A non-idempotent call is sent at
/// most once; with an idempotency key, at most once over all instances.
class service_task {
public:
  static result<std::unique_ptr<service_task>>
  create(const daemon_context& context, endpoint_task& endpoints, store::store_client& store);

  void on_keys_withdrawn(const std::vector<std::string>& key_ids);
  void on_isolated();
  void on_configuration(const configuration_ptr& configuration);

  /// Starts a call; exactly one callback follows, unless the call is cancelled.
  std::uint64_t submit(service_call_spec spec, service_callbacks callbacks);

  /// The caller has left. A call that may have been sent goes on, so that its outcome is recorded.
  void cancel(std::uint64_t number);

  [[nodiscard]] std::size_t running() const { return active_.size(); }

  sigc::signal<void(const usage_fact&)>& used() { return used_; }

private:
  struct active_call;
  using call_ptr = std::shared_ptr<active_call>;

  service_task(const daemon_context& context, endpoint_task& endpoints, store::store_client& store,
               retry::retry_policy retries);

  void tick();
  void run(const requests::idempotency_actions& actions);
  void carry_out(const store_put& it);
  void carry_out(const store_get& it);
  void carry_out(const store_delete& it);
  void carry_out(const requests::request_claimed& it);
  void carry_out(const requests::send_request& it);
  void carry_out(const requests::idempotency_reply& it);
  void carry_out(const requests::idempotency_readback& it);

  void send(const call_ptr& it);
  void on_reply(const call_ptr& it, const net::http_reply& reply);
  void on_send_failure(const call_ptr& it, const net::http_failure& failure);
  void retry_or_fail(const call_ptr& it, const net::http_failure& failure);
  void answer(const call_ptr& it, const service_answer& result);
  void fail(const call_ptr& it, const api_error& reason);
  void remove(const call_ptr& it);
  void abandon(const call_ptr& it, const api_error& reason);
  void end_attempt(active_call& it, std::optional<routing::health_signal> evidence);
  [[nodiscard]] bool take_claim(time_point now);
  [[nodiscard]] call_ptr find(std::uint64_t number) const;
  void record(events::event_number number, const active_call& it, json details = {});

  const daemon_context& context_;
  endpoint_task& endpoints_;
  store_executor store_;
  net::timer timer_;
  retry::retry_policy retries_;
  requests::idempotency_table once_;
  std::map<std::uint64_t, call_ptr> active_;
  std::uint64_t last_number_ = 0;
  /// Token bucket of at-most-once claims, this instance's part of the fleet's limit.
  double claims_per_second_ = 100;
  double claims_available_ = 1;
  time_point claims_at_;
  sigc::signal<void(const usage_fact&)> used_;
};

} // namespace boragedoor::daemon
