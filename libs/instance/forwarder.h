#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <sigc++/signal.h>

#include "dispatch/attempt_plan.h"
#include "http1/exchange.h"
#include "instance/instance_context.h"

namespace boragedoor::instance {

/// A caller's request, decoded.
struct caller_request {
  /// The caller's id of this attempt.
  std::string attempt;
  std::string host;
  /// Key that the caller showed; empty for none. It never leaves this process.
  std::string key;
  /// How long the caller waits; nothing if it does not say.
  std::optional<duration> allowed;
};

/// Forwards callers' requests to endpoints and returns their responses.
class forwarder {
public:
  explicit forwarder(instance_context& context);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;
  forwarder(forwarder&&) = delete;
  forwarder& operator=(forwarder&&) = delete;

  /// Forwards a request on the route that was matched for it.
  void forward(std::shared_ptr<http1::exchange> from, caller_request asked,
               dispatch::route_match where);

  /// Requests that wait for a response.
  [[nodiscard]] std::size_t open() const { return open_.size(); }

  /// An endpoint began to run a request of this workspace.
  sigc::signal<void(const std::string& workspace)> began_to_run;

private:
  class pending;
  void finished(const std::shared_ptr<pending>& it);

  instance_context& context_;
  std::unordered_set<std::shared_ptr<pending>> open_;
};

/// The response to a request that is not routed.
http1::response refusal_response(dispatch::route_refusal why);

} // namespace boragedoor::instance
