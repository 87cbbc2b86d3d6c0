#include "routing/router.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace boragedoor::routing {

struct router::candidate {
  const endpoint* target = nullptr;
  health_state health = health_state::healthy;
  /// Estimated current number of requests on the endpoint.
  double outstanding = 0;
  std::uint64_t rank = 0;
  bool other_region = false;
};

struct router::context {
  const route_request& request;
  const endpoint_table& table;
  const endpoint_health& health;
  const prefix_cache_hints& hints;
  time_point now;
};

namespace {

// One in this many subset members is in another region, so that requests can leave a saturated
// region.
constexpr std::size_t subset_members_per_remote = 8;

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

bool serves(const endpoint& it, const route_request& request) {
  return (request.pool.empty() || it.pool == request.pool) &&
         (request.model.empty() || it.model == request.model);
}

bool has_version(const endpoint& it, const route_request& request) {
  return it.weight_version >= request.minimum_version &&
         (!request.exact_version || it.weight_version == *request.exact_version);
}

bool contains(std::span<const std::string> list, std::string_view wanted) {
  return std::find(list.begin(), list.end(), wanted) != list.end();
}

bool has_adapter(const endpoint& it, const route_request& request) {
  return request.adapter.empty() || contains(it.adapters, request.adapter);
}

// Describes which requirements no endpoint meets, for the error response and the operator.
std::string unavailable_reason(const endpoint_table& table, const route_request& request) {
  std::size_t serving = 0;
  std::size_t ready = 0;
  std::size_t version = 0;
  std::size_t adapter = 0;
  table.for_each([&](const endpoint& it) {
    if (!serves(it, request)) {
      return;
    }
    serving += 1;
    ready += it.state == endpoint_state::ready ? 1 : 0;
    version += has_version(it, request) ? 1 : 0;
    adapter += has_adapter(it, request) ? 1 : 0;
  });
  const std::string of = " of " + std::to_string(serving) + " endpoints";
  if (serving == 0) {
    return "no endpoint serves pool '" + std::string(request.pool) + "', model '" +
           std::string(request.model) + "'";
  }
  return "no endpoint meets all requirements: " + std::to_string(ready) + of + " ready, " +
         std::to_string(version) + " with the weight version, " + std::to_string(adapter) +
         " with the adapter, " + std::to_string(request.excluded.size()) + " excluded";
}

// Keeps the `n` lowest ranks, reserving a part of them for other regions that have endpoints.
template <class Ranked>
void select_subset(std::vector<Ranked>& list, std::size_t n) {
  if (list.size() <= n) {
    return;
  }
  std::sort(list.begin(), list.end(), [](const Ranked& left, const Ranked& right) {
    return std::pair(left.other_region, left.rank) < std::pair(right.other_region, right.rank);
  });
  const auto others = static_cast<std::size_t>(
      std::count_if(list.begin(), list.end(), [](const Ranked& it) { return it.other_region; }));
  const std::size_t local = list.size() - others;
  const std::size_t local_kept =
      std::min(local, n - std::min({others, n / subset_members_per_remote, n - 1}));
  const auto at = [&](std::size_t i) { return list.begin() + static_cast<std::ptrdiff_t>(i); };
  list.erase(at(local_kept), at(local));
  list.erase(at(n), list.end());
}

} // namespace

bool meets_requirements(const endpoint& it, const route_request& request) {
  return it.state == endpoint_state::ready && serves(it, request) && has_version(it, request) &&
         has_adapter(it, request) && !contains(request.excluded, it.id);
}

std::vector<std::string> endpoint_subset(const endpoint_table& table, std::string_view instance,
                                         std::string_view region, std::string_view pool,
                                         std::size_t n) {
  struct ranked {
    const endpoint* target = nullptr;
    std::uint64_t rank = 0;
    bool other_region = false;
  };
  std::vector<ranked> list;
  list.reserve(table.size());
  const std::uint64_t seed = hash64(instance);
  table.for_each([&](const endpoint& it) {
    if (it.state != endpoint_state::draining && (pool.empty() || it.pool == pool)) {
      list.push_back({&it, hash64(it.id, seed), it.region != region});
    }
  });
  select_subset(list, n);
  std::vector<std::string> out;
  out.reserve(list.size());
  for (const ranked& it : list) {
    out.push_back(it.target->id);
  }
  return out;
}

router::router(router_options options)
    : options_(std::move(options)), subset_seed_(hash64(options_.instance)) {}

result<router> router::create(const router_options& options) {
  if (options.instance.empty() || options.subset_size == 0) {
    return error{error_code::invalid_argument,
                 "router: instance name must not be empty and subset_size must be positive"};
  }
  if (options.imbalance_bound < 1 || options.prefill_rate <= 0 || options.decode_rate <= 0 ||
      options.kv_transfer_rate <= 0 || options.full_batch_slowdown < 1 ||
      options.sharing_instances < 1) {
    return error{error_code::invalid_argument,
                 "router: imbalance_bound, full_batch_slowdown and sharing_instances must be at "
                 "least 1 and rates positive"};
  }
  return router(options);
}

result<route_choice> router::choose(const route_request& request, const endpoint_table& table,
                                    const endpoint_health& health, const prefix_cache_hints& hints,
                                    time_point now, random_engine& random) const {
  const context ctx{request, table, health, hints, now};
  candidates list = eligible_candidates(ctx);
  if (list.empty()) {
    return error{error_code::unavailable, unavailable_reason(table, request)};
  }
  if (const candidate* it = choose_probe(list, ctx, random)) {
    route_choice out = evaluate(*it, ctx);
    out.probe = true;
    return out;
  }
  list = most_preferred(std::move(list), ctx);
  discount_stale_reports(list, ctx);
  const bool last_resort = list.front().health != health_state::healthy;
  route_choice out = choose_lowest_cost(within_imbalance_bound(std::move(list)), ctx, random);
  out.probe = last_resort;
  return out;
}

router::candidates router::eligible_candidates(const context& ctx) const {
  candidates all;
  all.reserve(ctx.table.size());
  ctx.table.for_each([&](const endpoint& it) {
    if (it.state != endpoint_state::draining &&
        (ctx.request.pool.empty() || it.pool == ctx.request.pool)) {
      all.push_back({&it, ctx.health.state(it.id),
                     static_cast<double>(ctx.table.outstanding(it.id)), hash64(it.id, subset_seed_),
                     it.region != options_.region});
    }
  });
  const auto is_unsuitable = [&](const candidate& it) {
    return !meets_requirements(*it.target, ctx.request);
  };
  candidates list = all;
  select_subset(list, options_.subset_size);
  std::erase_if(list, is_unsuitable);
  const bool any_healthy = std::any_of(list.begin(), list.end(), [](const candidate& it) {
    return it.health == health_state::healthy;
  });
  if (!any_healthy) {
    // Endpoints outside the subset have no load report, but are preferable to an unhealthy one.
    std::erase_if(all, is_unsuitable);
    return all;
  }
  return list;
}

const router::candidate* router::choose_probe(const candidates& list, const context& ctx,
                                              random_engine& random) const {
  const auto can_probe = [&](const candidate& it) {
    const bool tolerates_delay =
        ctx.request.priority == route_class::rollout || it.target->kind == endpoint_kind::service;
    return it.health == health_state::probation && ctx.request.idempotent && tolerates_delay &&
           ctx.table.own_open_requests(it.target->id) == 0;
  };
  const auto it = std::find_if(list.begin(), list.end(), can_probe);
  if (it == list.end() ||
      std::uniform_real_distribution<>(0, 1)(random) >= options_.probe_probability) {
    return nullptr;
  }
  return &*it;
}

router::candidates router::most_preferred(candidates list, const context& ctx) const {
  const auto preference_rank = [&](const candidate& it) {
    int n = it.health == health_state::healthy ? 0 : it.health == health_state::probation ? 2 : 4;
    // A healthy cheap endpoint is preferred to an unhealthy one even if the request does not allow
    // the cheap tier.
    n += !ctx.request.cheap_allowed && it.target->tier == endpoint_tier::cheap ? 1 : 0;
    return n;
  };
  int best = preference_rank(list.front());
  for (const candidate& it : list) {
    best = std::min(best, preference_rank(it));
  }
  std::erase_if(list, [&](const candidate& it) { return preference_rank(it) != best; });
  return list;
}

void router::discount_stale_reports(candidates& list, const context& ctx) const {
  // Within about one request duration, the other instances' requests in a report have completed and
  // have been replaced by new ones on unknown endpoints. The best estimate for those is the mean,
  // as it is for endpoints without a report.
  const double run_seconds = std::max(1, ctx.request.expected_tokens) / options_.decode_rate *
                             options_.full_batch_slowdown;
  double others = 0;
  double reported_slots = 0;
  std::vector<double> report_weights(list.size(), 0);
  for (std::size_t i = 0; i < list.size(); ++i) {
    const endpoint& it = *list[i].target;
    if (const auto report = ctx.table.last_report(it.id)) {
      report_weights[i] =
          std::exp(-std::max(0.0, to_seconds(ctx.now - report->as_of)) / run_seconds);
      others += list[i].outstanding - ctx.table.own_open_requests(it.id);
      reported_slots += it.max_running;
    }
  }
  const double mean = reported_slots > 0 ? others / reported_slots : 0;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const endpoint& it = *list[i].target;
    const double own = ctx.table.own_open_requests(it.id);
    // The other instances saw the same report, so each has probably dispatched as many requests to
    // this endpoint since then as this instance has.
    const double peers_unreported =
        (options_.sharing_instances - 1) * std::max(0, ctx.table.own_net_since_report(it.id));
    const double reported = std::max(0.0, list[i].outstanding - own) + peers_unreported;
    list[i].outstanding =
        own + report_weights[i] * reported + (1 - report_weights[i]) * mean * it.max_running;
  }
}

router::candidates router::within_imbalance_bound(candidates list) const {
  double outstanding = 1;
  double slots = 0;
  for (const candidate& it : list) {
    outstanding += it.outstanding;
    slots += it.target->max_running;
  }
  // No request is queued on a full endpoint while another candidate has a free slot.
  const double max_load =
      std::min(options_.imbalance_bound * outstanding / slots, std::max(1.0, outstanding / slots));
  // At least one candidate remains, since the least loaded one is at or below the mean.
  std::erase_if(list, [&](const candidate& it) {
    return it.outstanding > max_load * it.target->max_running;
  });
  return list;
}

std::size_t router::partition_nearest(candidates& list) const {
  double nearest = round_trip_seconds(*list.front().target);
  for (const candidate& it : list) {
    nearest = std::min(nearest, round_trip_seconds(*it.target));
  }
  const auto end = std::stable_partition(list.begin(), list.end(), [&](const candidate& it) {
    return round_trip_seconds(*it.target) <= nearest;
  });
  return static_cast<std::size_t>(end - list.begin());
}

route_choice router::choose_lowest_cost(candidates list, const context& ctx,
                                        random_engine& random) const {
  // Compares a random candidate of the nearest with a random one of all, so that the round trip
  // decides only between similar loads, and with the one that has most of the prompt cached.
  const auto sample = [&](std::size_t n) -> const candidate& {
    return list[std::uniform_int_distribution<std::size_t>(0, n - 1)(random)];
  };
  route_choice best = evaluate(sample(partition_nearest(list)), ctx);
  const auto consider = [&](const candidate& it) {
    route_choice other = evaluate(it, ctx);
    if (other.cost < best.cost) {
      best = std::move(other);
    }
  };
  consider(sample(list.size()));
  const candidate* best_cached = nullptr;
  double best_cached_share = 0;
  for (const candidate& it : list) {
    const bool has_kv = ctx.request.kv && ctx.request.kv->endpoint == it.target->id;
    const double share =
        has_kv ? 1 : ctx.hints.expected_cached_share(it.target->id, ctx.request.prefix, ctx.now);
    if (share > best_cached_share) {
      best_cached_share = share;
      best_cached = &it;
    }
  }
  if (best_cached != nullptr) {
    consider(*best_cached);
  }
  return best;
}

double router::round_trip_seconds(const endpoint& it) const {
  if (it.data_centre == options_.data_centre) {
    return to_seconds(options_.same_data_centre_round_trip);
  }
  return to_seconds(it.region == options_.region ? options_.same_region_round_trip
                                                 : options_.other_region_round_trip);
}

double router::prefill_seconds(const candidate& it, const context& ctx, route_choice& out) const {
  const double prompt = ctx.request.prompt_tokens;
  out.cached_share = ctx.hints.expected_cached_share(it.target->id, ctx.request.prefix, ctx.now);
  double tokens = prompt * (1 - out.cached_share);
  if (!ctx.request.kv) {
    return tokens / options_.prefill_rate;
  }
  const kv_location& kv = *ctx.request.kv;
  const double prefill_with_kv = std::max(0.0, prompt - kv.tokens) / options_.prefill_rate;
  if (kv.endpoint == it.target->id) {
    return prefill_with_kv;
  }
  const double prefill_without_kv = tokens / options_.prefill_rate;
  const double transfer_seconds = prefill_with_kv + to_seconds(options_.kv_transfer_setup) +
                                  kv.tokens / options_.kv_transfer_rate;
  // A draining endpoint can still export its KV cache; one that was removed or is not healthy may
  // fail to.
  if (transfer_seconds < prefill_without_kv && ctx.table.find(kv.endpoint) != nullptr &&
      ctx.health.usable(kv.endpoint)) {
    out.transfer = kv_transfer{kv.endpoint, kv.tokens};
    return transfer_seconds;
  }
  return prefill_without_kv;
}

route_choice router::evaluate(const candidate& it, const context& ctx) const {
  route_choice out;
  out.endpoint = it.target->id;
  const double load = (it.outstanding + 1.0) / it.target->max_running;
  const double slowdown = 1 + (options_.full_batch_slowdown - 1) * std::min(load, 1.0);
  const double run_seconds =
      std::max(1, ctx.request.expected_tokens) / options_.decode_rate * slowdown;
  // Queued requests wait for a share of a request duration that is proportional to the excess load.
  const double wait_seconds = std::max(0.0, load - 1) * run_seconds;
  const double prefill = prefill_seconds(it, ctx, out);
  out.cost = round_trip_seconds(*it.target) + (prefill * slowdown + run_seconds + wait_seconds) *
                                                  ctx.health.relative_latency(it.target->id);
  return out;
}

} // namespace boragedoor::routing
