#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace boragedoor::dispatch {

/// How requests of a route may be executed.
enum class route_kind {
  /// May run more than once.
  idempotent,
  /// Runs at most once.
  non_idempotent,
  /// Runs at most once; the response is an event stream.
  stream,
  /// Batch jobs that trainers submit.
  rollout,
};

/// A service that receives a weighted share of a route's requests.
struct service_share {
  std::string service;
  double weight = 1;
};

/// Operator settings for the requests to one host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string prefix;
  route_kind kind = route_kind::non_idempotent;
  /// Maximum time that a caller waits for the response.
  duration timeout = seconds(10);
  /// A response that takes longer than this is worth less to the caller.
  duration target_latency = seconds(1);
  int priority = 0;
  std::vector<service_share> services;
  /// Maximum number of endpoints that may run one request.
  int max_attempts = 1;
  /// Requests need no API key.
  bool open = false;
  /// An interrupted stream may continue at another endpoint.
  bool resumable = false;
  /// All events of a sample must come from the same weight version.
  bool single_version = false;
  /// Rollouts only, both counted from the submission of the job: when its unfinished items may be
  /// given up, and when all items are due.
  duration max_queue = seconds(60);
  duration due = seconds(10);
};

/// Limits on the number of endpoints that autoscaling may order in each data centre.
struct scaling_bounds {
  int min_endpoints = 0;
  int max_endpoints = 0;
};

struct service {
  std::string name;
  /// Maximum number of connections that one endpoint accepts from all instances together.
  int max_connections = 0;
  /// Names of the models that the service hosts; empty if it hosts none.
  std::vector<std::string> models;
  std::optional<scaling_bounds> scaling;
  /// Requests a second that one endpoint takes from all instances together while it is cold; 0 if
  /// its endpoints are never cold.
  double warm_up_rate = 0;
};

struct workspace {
  std::string name;
  std::vector<std::string> keys;
};

/// Size and time limits for incoming requests.
struct caller_limits {
  std::size_t header_bytes = 16UL * 1024;
  std::size_t body_bytes = 1024UL * 1024;
  duration header_timeout = seconds(5);
  duration idle_timeout = seconds(30);
};

/// One accepted version of the configuration.
struct service_configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<workspace> workspaces;
  caller_limits limits;
};

} // namespace boragedoor::dispatch
