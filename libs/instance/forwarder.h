#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <sigc++/signal.h>

#include "dispatch/attempt_plan.h"
#include "dispatch/request_durations.h"
#include "dispatch/stop_schedule.h"
#include "http1/exchange.h"
#include "instance/crash_task.h"
#include "instance/endpoint_verifier.h"
#include "instance/instance_context.h"
#include "instance/stream_origin_task.h"

namespace boragedoor::instance {

/// The fields of a caller's request that routing and retries use.
struct caller_request {
  /// Id that the caller gave to this attempt.
  std::string attempt_id;
  std::string host;
  /// Workspace key from the request, or empty. It is never sent to another process.
  std::string key;
  /// Attempt that brought the first event of the stream that this request continues; empty if it
  /// continues none or does not say so.
  std::string resumes{};
  /// Whether the request asks for the rest of a stream that broke off.
  bool continues_stream = false;
  /// How long the caller waits for the response, if the request states it.
  std::optional<duration> timeout;
};

/// Forwards callers' requests to endpoints and the endpoints' responses to the callers.
class forwarder {
public:
  /// `stop` decides which requests are taken while this process stops.
  forwarder(instance_context& context, stream_origin_task& origins, crash_task& crashes,
            endpoint_verifier& verifier, const dispatch::stop_schedule& stop);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;
  forwarder(forwarder&&) = delete;
  forwarder& operator=(forwarder&&) = delete;

  /// Forwards a request to an endpoint of its matched route.
  void forward(std::shared_ptr<http1::exchange> exchange, caller_request request,
               dispatch::route_match route);

  /// Tries again to send the requests that wait for a permit, in the order of their arrival.
  void retry_waiting();

  /// Ends the requests whose response has not been started, because the process ends.
  void end_requests();

  /// Number of requests without a complete response.
  [[nodiscard]] std::size_t pending_count() const { return pending_.size(); }

  /// Emitted once per request, when an endpoint first reports that it runs it. Requests without a
  /// workspace are left out.
  sigc::signal<void(const std::string& workspace)> request_started;

private:
  class pending_request;
  void remove_pending(const std::shared_ptr<pending_request>& request);

  instance_context& context_;
  stream_origin_task& origins_;
  crash_task& crashes_;
  endpoint_verifier& verifier_;
  const dispatch::stop_schedule& stop_;
  dispatch::request_durations durations_;
  std::unordered_set<std::shared_ptr<pending_request>> pending_;
  /// Requests that wait for a permit to send to an endpoint that states a limit.
  std::vector<std::weak_ptr<pending_request>> waiting_;
};

/// Returns the error response for a request that could not be routed.
http1::response refusal_response(dispatch::route_refusal reason);

} // namespace boragedoor::instance
