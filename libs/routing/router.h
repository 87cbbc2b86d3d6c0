#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/endpoint_health.h"
#include "routing/endpoint_table.h"
#include "routing/prefix_cache_hints.h"

namespace boragedoor::routing {

enum class route_class { interactive, rollout };

/// KV cache that remains on an endpoint from an earlier attempt or a paused stream.
struct kv_location {
  std::string endpoint{};
  int tokens = 0;
};

/// What a request requires of its endpoint. Empty fields impose no requirement.
struct route_request {
  std::string_view pool{};
  std::string_view model{};
  std::string_view adapter{};
  route_class priority = route_class::rollout;
  std::uint64_t minimum_version = 0;
  /// The only weight version allowed, for samples that must come from a single version.
  std::optional<std::uint64_t> exact_version{};
  bool idempotent = true;
  /// Whether the request may run on an endpoint of the cheap tier, which the platform can reclaim
  /// at a few seconds' notice.
  bool cheap_allowed = true;
  int prompt_tokens = 0;
  int expected_tokens = 0;
  std::span<const prefix_hash> prefix{};
  std::optional<kv_location> kv{};
  /// Endpoints that already failed this request, or that run another request suspected of crashing
  /// endpoints.
  std::span<const std::string> excluded{};
};

/// Export of a KV cache from another endpoint and import at the chosen one.
struct kv_transfer {
  std::string from;
  int tokens = 0;
};

struct route_choice {
  std::string endpoint;
  /// Expected seconds until the request completes on this endpoint. Candidates are compared by it.
  double cost = 0;
  /// Expected share of the prompt in the endpoint's prefix cache.
  double cached_share = 0;
  std::optional<kv_transfer> transfer;
  /// Whether the endpoint is on probation, or ejected and chosen because no other one was left.
  bool probe = false;
};

struct router_options {
  std::string instance{};
  std::string data_centre{};
  std::string region{};
  /// Number of endpoints of a pool that this instance uses. Each instance uses a different subset.
  std::size_t subset_size = 16;
  /// Number of instances, including this one, that choose among the same endpoints based on the
  /// same reports: all instances of a small fleet, about instances * subset_size / endpoints in a
  /// large fleet.
  int sharing_instances = 8;
  /// Limits the load that cache affinity can concentrate: no choice raises the fraction of an
  /// endpoint's slots in use above this multiple of the candidates' mean, plus one request.
  double imbalance_bound = 1.25;
  /// Probability that an idempotent rollout or service request probes an endpoint on probation that
  /// has no open request of this instance.
  double probe_probability = 0.1;
  /// Network round trips. Data centres of the same region are 0.5 to 1 ms apart.
  duration same_data_centre_round_trip = microseconds(200);
  duration same_region_round_trip = milliseconds(1);
  duration other_region_round_trip = milliseconds(80);
  /// Engine performance model: prompt tokens per second, output tokens per second of a single
  /// stream, and the slowdown factor of a stream in a full batch.
  double prefill_rate = 8'000;
  double decode_rate = 60;
  double full_batch_slowdown = 3;
  /// KV cache transfer: tokens per second, and fixed setup time.
  double kv_transfer_rate = 60'000;
  duration kv_transfer_setup = milliseconds(50);
};

/// Chooses endpoints for one instance. Stateless apart from its options.
class router {
public:
  /// Fails with `invalid_argument` when the instance name is empty, `subset_size` is 0, a rate is
  /// not positive, or `imbalance_bound`, `full_batch_slowdown` or `sharing_instances` is below 1.
  static result<router> create(const router_options& options);

  /// Chooses an endpoint. Endpoints that are draining or starting, or lack the weight version or
  /// the adapter, are never chosen. Ejected endpoints, and cheap ones for requests that do not
  /// allow them, are chosen only when no other is left. Fails with `unavailable` when no endpoint
  /// meets the requirements; the message says why.
  [[nodiscard]] result<route_choice>
  choose(const route_request& request, const endpoint_table& table, const endpoint_health& health,
         const prefix_cache_hints& hints, time_point now, random_engine& random) const;

private:
  struct candidate;
  struct context;
  using candidates = std::vector<candidate>;
  explicit router(router_options options);
  [[nodiscard]] candidates eligible_candidates(const context& ctx) const;
  [[nodiscard]] const candidate* choose_probe(const candidates& list, const context& ctx,
                                              random_engine& random) const;
  [[nodiscard]] candidates most_preferred(candidates list, const context& ctx) const;
  /// Replaces the reported load of other instances by the mean as reports age.
  void discount_stale_reports(candidates& list, const context& ctx) const;
  [[nodiscard]] candidates within_imbalance_bound(candidates list) const;
  /// Moves the candidates with the shortest round trip to the front and returns their number.
  std::size_t partition_nearest(candidates& list) const;
  [[nodiscard]] route_choice choose_lowest_cost(candidates list, const context& ctx,
                                                random_engine& random) const;
  [[nodiscard]] route_choice evaluate(const candidate& it, const context& ctx) const;
  [[nodiscard]] double prefill_seconds(const candidate& it, const context& ctx,
                                       route_choice& out) const;
  [[nodiscard]] double round_trip_seconds(const endpoint& it) const;

  router_options options_;
  std::uint64_t subset_seed_;
};

/// Returns whether an endpoint meets the request's requirements, regardless of its health.
bool meets_requirements(const endpoint& it, const route_request& request);

/// Returns the ids of the `n` endpoints of a pool (of all pools if empty) that an instance uses:
/// the lowest rendezvous hashes of its region, and some of other regions. Each instance gets a
/// different subset, which changes little when endpoints come and go.
std::vector<std::string> endpoint_subset(const endpoint_table& table, std::string_view instance,
                                         std::string_view region, std::string_view pool,
                                         std::size_t n);

} // namespace boragedoor::routing
