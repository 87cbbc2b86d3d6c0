#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "dispatch/keeper_changes.h"
#include "dispatch/permit_keeper.h"
#include "http1/client.h"
#include "http1/exchange.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Gets the permits for endpoints whose requests are limited from the instances that keep the
/// budgets of these endpoints, and grants permits for those whose budgets this instance keeps.
class permit_task {
public:
  permit_task(instance_context& context, member_task& members);
  ~permit_task() { *alive_ = false; }
  permit_task(const permit_task&) = delete;
  permit_task& operator=(const permit_task&) = delete;
  permit_task(permit_task&&) = delete;
  permit_task& operator=(permit_task&&) = delete;

  /// Handles a request of another instance. Returns false if it is not a request for permits.
  bool answer(const std::shared_ptr<http1::exchange>& from);

  /// Emitted when requests for permits have been answered, whether permits were granted or not.
  sigc::signal<void()> answered;

private:
  using request_list = std::vector<dispatch::permit_request>;

  void request_permits();
  /// The member to ask for an endpoint's permits; nullptr if this instance decides itself.
  [[nodiscard]] const duties::member* keeper_of(const std::string& endpoint, time_point now) const;
  void ask(const duties::member& keeper, request_list requests);
  dispatch::permit_grant with_jitter(dispatch::permit_grant grant);
  void grant_here(const request_list& requests, time_point now);
  /// Position of this instance among the members that are asked for an endpoint's permits; nothing
  /// if it knows no member.
  [[nodiscard]] std::optional<std::size_t> rank_for(const std::string& endpoint,
                                                    time_point now) const;
  dispatch::permit_grant grant(const dispatch::permit_request& request, time_point now);
  void note_members();
  void expire();

  instance_context& context_;
  member_task& members_;
  http1::client calls_;
  dispatch::permit_keeper keeper_;
  dispatch::keeper_changes changes_;
  /// Members that did not respond lately, with the time until which others are asked.
  std::map<std::string, time_point, std::less<>> silent_until_;
  net::timer expiry_timer_;
  bool scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
