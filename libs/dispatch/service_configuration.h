#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace boragedoor::dispatch {

/// What a route's requests allow.
enum class route_kind {
  /// May run more than once.
  idempotent,
  /// Runs at most once.
  non_idempotent,
  /// Runs at most once; the response is a series of events.
  stream,
  /// Batch jobs of trainers.
  rollout,
};

/// A service that takes a share of a route's requests.
struct service_share {
  std::string service;
  double weight = 1;
};

/// Requests to one host and path prefix, as the operator configured them.
struct route {
  std::string name;
  std::string host;
  std::string prefix;
  route_kind kind = route_kind::non_idempotent;
  /// Longest time that a caller is kept waiting.
  duration timeout = seconds(10);
  /// Time within which a response is of full value.
  duration target_latency = seconds(1);
  int priority = 0;
  std::vector<service_share> services;
  /// Most endpoints that may run one request.
  int max_attempts = 1;
  /// Requests need no key.
  bool open = false;
  /// A stream may continue at another endpoint.
  bool resumable = false;
  /// All events of a sample come from one weight version.
  bool single_version = false;
  /// Rollouts: how long after its submission an item may be given up, and when all are due.
  duration max_queue = seconds(60);
  duration due = seconds(10);
};

/// How many endpoints of a service may be ordered in each data centre.
struct scaling_bounds {
  int min_endpoints = 0;
  int max_endpoints = 0;
};

struct service {
  std::string name;
  /// Connections that an endpoint accepts from all instances together.
  int max_connections = 0;
  /// Names of the models; empty for a plain service.
  std::vector<std::string> models;
  std::optional<scaling_bounds> scaling;
};

struct workspace {
  std::string name;
  std::vector<std::string> keys;
};

/// What a caller may send and how long it may take.
struct caller_limits {
  std::size_t header_bytes = 16UL * 1024;
  std::size_t body_bytes = 1024UL * 1024;
  duration header_timeout = seconds(5);
  duration idle_timeout = seconds(30);
};

/// One accepted version of the operator's configuration.
struct service_configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<workspace> workspaces;
  caller_limits limits;
};

} // namespace boragedoor::dispatch
