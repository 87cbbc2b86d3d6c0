#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace boragedoor::config {

/// Whether the receiver of orders rejects an order with an old fencing token.
enum class order_fencing { checks_token, ignores_token };

/// What kind of work a request class is.
enum class request_kind { interactive, rollout, background };

/// What an instance without evidence of freshness does with keyed requests. `serve` gives up G6
/// for the duration of a partition.
enum class isolation_policy { refuse, serve };

std::string_view to_string(order_fencing it);
std::string_view to_string(request_kind it);
std::string_view to_string(isolation_policy it);

std::optional<order_fencing> parse_order_fencing(std::string_view text);
std::optional<request_kind> parse_request_kind(std::string_view text);
std::optional<isolation_policy> parse_isolation_policy(std::string_view text);

/// A data centre and the kind of its ordering interface.
struct data_centre {
  std::string name;
  std::string region;
  order_fencing ordering = order_fencing::ignores_token;

  friend bool operator==(const data_centre&, const data_centre&) = default;
};

/// A class of requests with its own deadline.
struct request_class {
  std::string name;
  request_kind kind = request_kind::interactive;
  milliseconds deadline{0};
  /// Requests per minute and workspace that may state a raised priority.
  std::int64_t priority_budget = 0;
  /// True when the class tolerates capacity that can disappear at a few seconds' notice.
  bool cheap_allowed = false;

  friend bool operator==(const request_class&, const request_class&) = default;
};

/// An issued workspace key. The key text itself is never stored.
struct workspace_key {
  /// First 16 hexadecimal digits of `sha256`.
  std::string id;
  /// SHA-256 of the key text as 64 lower-case hexadecimal digits.
  std::string sha256;
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t issued_at = 0;

  friend bool operator==(const workspace_key&, const workspace_key&) = default;
};

struct workspace {
  std::string name;
  /// Share in the fair division of capacity, relative to the other workspaces.
  std::int64_t weight = 1;
  /// Names of the request classes that the workspace may use; the first is its default.
  std::vector<std::string> classes;
  std::vector<workspace_key> keys;

  friend bool operator==(const workspace&, const workspace&) = default;
};

struct model {
  std::string name;
  /// Longest response in tokens.
  std::int64_t max_tokens = 0;

  friend bool operator==(const model&, const model&) = default;
};

struct trainer {
  std::string name;
  std::string model;
  /// The workspace that is billed for the trainer's samples and whose key it presents.
  std::string workspace;
  /// Weight versions that a delivered sample may be behind.
  std::int64_t staleness_bound = 0;
  /// Samples of one group.
  std::int64_t group_size = 1;
  /// Longest sample in tokens; at most the model's.
  std::int64_t max_tokens = 0;

  friend bool operator==(const trainer&, const trainer&) = default;
};

struct service_route {
  /// An HTTP method, or "*" for any.
  std::string method;
  /// Starts with "/" and covers whole path segments.
  std::string path_prefix;
  /// An open route needs no key.
  bool open = false;
  bool idempotent = false;

  friend bool operator==(const service_route&, const service_route&) = default;
};

struct service {
  std::string name;
  std::vector<service_route> routes;

  friend bool operator==(const service&, const service&) = default;
};

/// Replica counts of a pool in one data centre.
struct pool_size {
  std::string data_centre;
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  /// How many of the replicas may run on cheaper capacity.
  std::int64_t cheap_maximum = 0;

  friend bool operator==(const pool_size&, const pool_size&) = default;
};

/// Replicas that serve one model or one service; exactly one of the two names is set.
struct pool {
  std::string name;
  std::string model;
  std::string service;
  /// Whether the replicas themselves check the fencing token of an order.
  order_fencing fencing = order_fencing::ignores_token;
  /// Requests that one replica runs at once.
  std::int64_t concurrency = 1;
  std::vector<pool_size> sizes;

  friend bool operator==(const pool&, const pool&) = default;
};

/// Bounds that hold on every instance.
struct config_limits {
  /// Largest step that a trainer may open.
  std::int64_t max_step_samples = 0;
  /// Requests that one workspace may have waiting on one instance.
  std::int64_t max_queued_requests = 0;
  /// At-most-once claims per second over all instances; part of the store budget.
  std::int64_t claims_per_second = 0;

  friend bool operator==(const config_limits&, const config_limits&) = default;
};

} // namespace boragedoor::config
