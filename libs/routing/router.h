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

/// A KV cache that an earlier attempt or a paused stream left on an endpoint.
struct kv_location {
  std::string endpoint{};
  int tokens = 0;
};

/// What a request needs from its endpoint. Empty fields ask for nothing.
struct route_request {
  std::string_view pool{};
  std::string_view model{};
  std::string_view adapter{};
  route_class priority = route_class::rollout;
  std::uint64_t minimum_version = 0;
  /// Some samples must come from exactly one version.
  std::optional<std::uint64_t> exact_version{};
  bool idempotent = true;
  /// Whether the loss of a cheaper endpoint at a few seconds' notice does no harm.
  bool cheap_allowed = true;
  int prompt_tokens = 0;
  int expected_tokens = 0;
  std::span<const prefix_hash> prefix{};
  std::optional<kv_location> kv{};
  /// Endpoints that already failed this request or that run a fellow crash suspect.
  std::span<const std::string> excluded{};
};

/// An export of the KV cache from one endpoint and its import at the chosen one.
struct kv_move {
  std::string from;
  int tokens = 0;
};

struct route_choice {
  std::string endpoint;
  /// Expected seconds until the request completes there, from which the choice was made.
  double cost = 0;
  /// Expected share of the prompt that is cached there.
  double cached_share = 0;
  std::optional<kv_move> move;
  /// The endpoint is on probation, or set aside and chosen because no other one was left.
  bool probe = false;
};

struct router_options {
  std::string instance{};
  std::string data_centre{};
  std::string region{};
  /// Endpoints of a pool that this instance uses; the other instances use other subsets.
  std::size_t subset_size = 16;
  /// Instances that choose among the same endpoints by the same reports, this one included: all of
  /// them today, and about instances * subset_size / endpoints in a large fleet.
  int sharing_instances = 8;
  /// No choice may raise an endpoint's share of its running slots above this many times the mean
  /// over the candidates, plus one request. Bounds what affinity can pile up.
  double imbalance_bound = 1.25;
  /// Chance that an idempotent rollout probes an endpoint on probation that has none of this
  /// instance's requests.
  double probe_chance = 0.1;
  /// Round trips, from the deployments' measured distances (0.5 to 1 ms between data centres).
  duration same_data_centre = microseconds(200);
  duration same_region = milliseconds(1);
  duration other_region = milliseconds(80);
  /// Model of an engine's speed: prompt tokens a second, output tokens a second of one stream, and
  /// its slow-down in a full batch.
  double prefill_rate = 8'000;
  double decode_rate = 60;
  double full_batch_slowdown = 3;
  /// Tokens a second of a KV transfer, and its fixed cost.
  double kv_move_rate = 60'000;
  duration kv_move_setup = milliseconds(50);
};

/// Chooses endpoints for one instance. Keeps no state of its own.
class router {
public:
  /// Fails with `invalid_argument` on an empty instance name, an imbalance bound under 1 or a rate
  /// that is not positive.
  static result<router> create(const router_options& options);

  /// Chooses an endpoint. Draining and starting endpoints, other weight versions and missing
  /// adapters are never chosen; set-aside endpoints, and cheaper ones where they do harm, only when
  /// nothing else is left.
  /// Fails with `unavailable`; the message says what is missing.
  [[nodiscard]] result<route_choice>
  choose(const route_request& request, const endpoint_table& table, const endpoint_health& health,
         const prefix_cache_hints& hints, time_point now, random_engine& random) const;

private:
  struct candidate;
  struct context;
  using candidates = std::vector<candidate>;
  explicit router(router_options options);
  [[nodiscard]] candidates subset(const context& in) const;
  [[nodiscard]] const candidate* probe(const candidates& list, const context& in,
                                       random_engine& random) const;
  [[nodiscard]] candidates best_tier(candidates list, const context& in) const;
  /// Moves what reports say of others' load towards the mean as they age.
  void discount_old_reports(candidates& list, const context& in) const;
  [[nodiscard]] candidates within_bound(candidates list) const;
  /// Moves the nearest candidates to the front and returns how many they are.
  std::size_t sort_nearest(candidates& list) const;
  [[nodiscard]] route_choice pick(candidates list, const context& in, random_engine& random) const;
  [[nodiscard]] route_choice price(const candidate& it, const context& in) const;
  [[nodiscard]] double prefill_seconds(const candidate& it, const context& in,
                                       route_choice& out) const;
  [[nodiscard]] double round_trip_seconds(const endpoint& it) const;

  router_options options_;
  std::uint64_t subset_seed_;
};

/// Whether an endpoint meets the request's needs, health aside.
bool meets_needs(const endpoint& it, const route_request& request);

/// Ids of the endpoints of a pool (all pools, if empty) that an instance uses: the nearest region's
/// `n` first by rendezvous hash. Stable under churn, and different for each instance.
std::vector<std::string> endpoint_subset(const endpoint_table& table, std::string_view instance,
                                         std::string_view region, std::string_view pool,
                                         std::size_t n);

} // namespace boragedoor::routing
