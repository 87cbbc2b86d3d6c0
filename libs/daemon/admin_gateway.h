#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/sigc++.h>

#include "daemon/access_control.h"
#include "daemon/caller_gateway.h"
#include "daemon/configuration_task.h"
#include "daemon/endpoint_task.h"
#include "daemon/peer_task.h"
#include "daemon/shard_task.h"
#include "daemon/usage_task.h"

namespace boragedoor::daemon {

/// Answers operators below "/admin/".
class admin_gateway {
public:
  admin_gateway(const daemon_context& context, const access_control& access,
                configuration_task& configuration, endpoint_task& endpoints, peer_task& peers,
                shard_task& shards, usage_task& usage);

  void on_list(std::span<const listed_instance> list);
  /// "starting", "serving", "isolated" or "draining".
  void set_state(std::string state) { state_ = std::move(state); }

  /// `rest` is the path after "/admin/".
  void handle(const exchange_ptr& exchange, std::string_view rest);

  /// Emitted when an operator asks this instance to stop.
  sigc::signal<void()>& drain_asked() { return drain_asked_; }

private:
  void show_configuration(const exchange_ptr& exchange) const;
  void propose(const exchange_ptr& exchange);
  void show_status(const exchange_ptr& exchange);
  void issue_key(const exchange_ptr& exchange);
  void withdraw_key(const exchange_ptr& exchange, const std::string& key_id);
  void list_keys(const exchange_ptr& exchange) const;
  void drain(const exchange_ptr& exchange, const std::string& instance);
  void show_usage(const exchange_ptr& exchange);
  void show_events(const exchange_ptr& exchange) const;
  /// Asks every listed instance for its state and answers with the rows.
  void ask_all(std::function<void(json rows)> done);
  [[nodiscard]] json own_status() const;
  void on_call(const json& request, const peer_task::answer_function& answer);

  const daemon_context& context_;
  const access_control& access_;
  configuration_task& configuration_;
  endpoint_task& endpoints_;
  peer_task& peers_;
  shard_task& shards_;
  usage_task& usage_;
  std::vector<listed_instance> list_;
  std::string state_ = "starting";
  sigc::signal<void()> drain_asked_;
};

} // namespace boragedoor::daemon
