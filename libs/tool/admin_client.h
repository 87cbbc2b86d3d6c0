#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace boragedoor::tool {

/// Where and how daemons are asked.
struct admin_options {
  /// Tried in this order.
  std::vector<net::address> targets;
  std::string token;
  duration timeout = seconds(10);
};

struct admin_request {
  std::string method = "GET";
  /// Path with the query, already encoded.
  std::string path;
  /// Null for requests without a body.
  json body;
  /// Whether sending the request twice has the effect of sending it once.
  bool repeatable = true;
  /// Command that shows the outcome of a request that may not be repeated.
  std::string outcome_command;
};

/// The reply of a daemon, whatever its status.
struct admin_reply {
  int status = 0;
  json body;
  net::address target;
  /// True when an earlier target may have executed the request and did not say so.
  bool maybe_executed_before = false;
};

/// Sends operator requests and waits for the replies.
class admin_client {
public:
  static result<std::unique_ptr<admin_client>> create(admin_options options);

  /// Asks the targets in order. The next target is asked when the one before did not get the
  /// request, or said that it did not execute it; a repeatable request also after other failures.
  /// Fails with `outcome_unknown` when a request that may not be repeated got no usable reply,
  /// and with `unavailable` when no target replied.
  result<admin_reply> call(const admin_request& request);

  /// Asks one target.
  result<admin_reply> call_target(const net::address& target, const admin_request& request);

  /// Like `call`, and turns every status but 2xx into an error with the daemon's message.
  result<json> fetch(const admin_request& request);

  [[nodiscard]] const std::vector<net::address>& targets() const { return options_.targets; }

private:
  struct attempt;

  admin_client(admin_options options, std::unique_ptr<net::event_loop> loop);
  attempt send(const net::address& target, const admin_request& request);

  admin_options options_;
  std::unique_ptr<net::event_loop> loop_;
  std::unique_ptr<net::http_client> http_;
};

/// Turns a reply with a status other than 2xx into an error.
error to_error(const admin_reply& reply);

} // namespace boragedoor::tool
