#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/access_control.h"
#include "daemon/completion_task.h"
#include "daemon/daemon_context.h"
#include "daemon/membership_task.h"
#include "daemon/service_task.h"
#include "net/http_server.h"

namespace boragedoor::daemon {

using exchange_ptr = std::shared_ptr<net::http_exchange>;

/// Answers callers: the address lookup, completions and plain service calls.
class caller_gateway {
public:
  caller_gateway(const daemon_context& context, const access_control& access,
                 completion_task& completions, service_task& services);

  void on_list(std::span<const listed_instance> list);
  /// Instances that said that they are draining, before the platform's list shows it.
  void on_draining(const std::string& instance, bool draining);
  void set_serving(bool serving) { serving_ = serving; }

  void lookup(const exchange_ptr& exchange) const;
  void complete(const exchange_ptr& exchange);
  /// `rest` is the path after "/v1/services/".
  void call_service(const exchange_ptr& exchange, std::string_view rest);

private:
  void stream_completion(const exchange_ptr& exchange, completion_spec spec);
  void whole_completion(const exchange_ptr& exchange, completion_spec spec);
  [[nodiscard]] std::string next_request_id();
  void refuse(const exchange_ptr& exchange, const api_error& reason);

  const daemon_context& context_;
  const access_control& access_;
  completion_task& completions_;
  service_task& services_;
  std::vector<listed_instance> list_;
  std::set<std::string> draining_;
  bool serving_ = false;
  std::uint64_t last_request_ = 0;
};

} // namespace boragedoor::daemon
