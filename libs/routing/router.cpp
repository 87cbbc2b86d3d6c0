#include "routing/router.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace boragedoor::routing {

struct router::candidate {
  const endpoint* where = nullptr;
  health_state health = health_state::healthy;
  /// Expected requests there now.
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

// One in this many members of a subset comes from other regions, so that a saturated region finds
// a way out.
constexpr std::size_t other_region_part = 8;

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

// Says what is missing, for the caller's error response and the operator.
std::string shortage(const endpoint_table& table, const route_request& request) {
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
  return "no endpoint fits: " + std::to_string(ready) + of + " ready, " + std::to_string(version) +
         " with the weight version, " + std::to_string(adapter) + " with the adapter, " +
         std::to_string(request.excluded.size()) + " excluded";
}

// Keeps the `n` lowest ranks, of which a part goes to other regions if they have any.
template <class Ranked>
void keep_subset(std::vector<Ranked>& list, std::size_t n) {
  if (list.size() <= n) {
    return;
  }
  std::sort(list.begin(), list.end(), [](const Ranked& left, const Ranked& right) {
    return std::pair(left.other_region, left.rank) < std::pair(right.other_region, right.rank);
  });
  const auto others = static_cast<std::size_t>(
      std::count_if(list.begin(), list.end(), [](const Ranked& it) { return it.other_region; }));
  const std::size_t near = list.size() - others;
  const std::size_t near_kept =
      std::min(near, n - std::min({others, n / other_region_part, n - 1}));
  const auto at = [&](std::size_t i) { return list.begin() + static_cast<std::ptrdiff_t>(i); };
  list.erase(at(near_kept), at(near));
  list.erase(at(n), list.end());
}

} // namespace

bool meets_needs(const endpoint& it, const route_request& request) {
  return it.state == endpoint_state::ready && serves(it, request) && has_version(it, request) &&
         has_adapter(it, request) && !contains(request.excluded, it.id);
}

std::vector<std::string> endpoint_subset(const endpoint_table& table, std::string_view instance,
                                         std::string_view region, std::string_view pool,
                                         std::size_t n) {
  struct ranked {
    const endpoint* where = nullptr;
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
  keep_subset(list, n);
  std::vector<std::string> out;
  out.reserve(list.size());
  for (const ranked& it : list) {
    out.push_back(it.where->id);
  }
  return out;
}

router::router(router_options options)
    : options_(std::move(options)), subset_seed_(hash64(options_.instance)) {}

result<router> router::create(const router_options& options) {
  if (options.instance.empty() || options.subset_size == 0) {
    return error{error_code::invalid_argument,
                 "router: the instance's name must be given and subset_size be positive"};
  }
  if (options.imbalance_bound < 1 || options.prefill_rate <= 0 || options.decode_rate <= 0 ||
      options.kv_move_rate <= 0 || options.full_batch_slowdown < 1 ||
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
  const context in{request, table, health, hints, now};
  candidates list = subset(in);
  if (list.empty()) {
    return error{error_code::unavailable, shortage(table, request)};
  }
  if (const candidate* it = probe(list, in, random)) {
    route_choice out = price(*it, in);
    out.probe = true;
    return out;
  }
  list = best_tier(std::move(list), in);
  discount_old_reports(list, in);
  const bool last_resort = list.front().health != health_state::healthy;
  route_choice out = pick(within_bound(std::move(list)), in, random);
  out.probe = last_resort;
  return out;
}

router::candidates router::subset(const context& in) const {
  candidates all;
  all.reserve(in.table.size());
  in.table.for_each([&](const endpoint& it) {
    if (it.state != endpoint_state::draining &&
        (in.request.pool.empty() || it.pool == in.request.pool)) {
      all.push_back({&it, in.health.state(it.id), static_cast<double>(in.table.outstanding(it.id)),
                     hash64(it.id, subset_seed_), it.region != options_.region});
    }
  });
  const auto unfit = [&](const candidate& it) { return !meets_needs(*it.where, in.request); };
  candidates list = all;
  keep_subset(list, options_.subset_size);
  std::erase_if(list, unfit);
  const bool any_healthy = std::any_of(list.begin(), list.end(), [](const candidate& it) {
    return it.health == health_state::healthy;
  });
  if (!any_healthy) {
    // Without a load report the others are the worse known, but better than an unhealthy one.
    std::erase_if(all, unfit);
    return all;
  }
  return list;
}

const router::candidate* router::probe(const candidates& list, const context& in,
                                       random_engine& random) const {
  const auto open_to_probe = [&](const candidate& it) {
    const bool patient =
        in.request.priority == route_class::rollout || it.where->kind == endpoint_kind::service;
    return it.health == health_state::probation && in.request.idempotent && patient &&
           in.table.own_open(it.where->id) == 0;
  };
  const auto it = std::find_if(list.begin(), list.end(), open_to_probe);
  if (it == list.end() || std::uniform_real_distribution<>(0, 1)(random) >= options_.probe_chance) {
    return nullptr;
  }
  return &*it;
}

router::candidates router::best_tier(candidates list, const context& in) const {
  const auto tier = [&](const candidate& it) {
    int n = it.health == health_state::healthy ? 0 : it.health == health_state::probation ? 2 : 4;
    // Where the loss of a cheaper endpoint does harm, it still beats an unhealthy one.
    n += !in.request.cheap_allowed && it.where->tier == endpoint_tier::cheap ? 1 : 0;
    return n;
  };
  int best = tier(list.front());
  for (const candidate& it : list) {
    best = std::min(best, tier(it));
  }
  std::erase_if(list, [&](const candidate& it) { return tier(it) != best; });
  return list;
}

void router::discount_old_reports(candidates& list, const context& in) const {
  // Others' requests that a report shows are replaced within about a run by requests that may be
  // anywhere, of which the mean is the best estimate. So it is where no report came yet.
  const double run =
      std::max(1, in.request.expected_tokens) / options_.decode_rate * options_.full_batch_slowdown;
  double others = 0;
  double reported_slots = 0;
  std::vector<double> trust(list.size(), 0);
  for (std::size_t i = 0; i < list.size(); ++i) {
    const endpoint& it = *list[i].where;
    if (const auto report = in.table.last_report(it.id)) {
      trust[i] = std::exp(-std::max(0.0, to_seconds(in.now - report->as_of)) / run);
      others += list[i].outstanding - in.table.own_open(it.id);
      reported_slots += it.max_running;
    }
  }
  const double mean = reported_slots > 0 ? others / reported_slots : 0;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const endpoint& it = *list[i].where;
    const double own = in.table.own_open(it.id);
    // The other instances saw the same report, so each has probably sent as much there as this one.
    const double alike =
        (options_.sharing_instances - 1) * std::max(0, in.table.own_since_report(it.id));
    const double reported = std::max(0.0, list[i].outstanding - own) + alike;
    list[i].outstanding = own + trust[i] * reported + (1 - trust[i]) * mean * it.max_running;
  }
}

router::candidates router::within_bound(candidates list) const {
  double outstanding = 1;
  double slots = 0;
  for (const candidate& it : list) {
    outstanding += it.outstanding;
    slots += it.where->max_running;
  }
  // While there is a free slot anywhere, nobody waits for one.
  const double most =
      std::min(options_.imbalance_bound * outstanding / slots, std::max(1.0, outstanding / slots));
  // The least loaded candidate is at or below the mean and always stays.
  std::erase_if(list,
                [&](const candidate& it) { return it.outstanding > most * it.where->max_running; });
  return list;
}

std::size_t router::sort_nearest(candidates& list) const {
  double nearest = round_trip_seconds(*list.front().where);
  for (const candidate& it : list) {
    nearest = std::min(nearest, round_trip_seconds(*it.where));
  }
  const auto end = std::stable_partition(list.begin(), list.end(), [&](const candidate& it) {
    return round_trip_seconds(*it.where) <= nearest;
  });
  return static_cast<std::size_t>(end - list.begin());
}

route_choice router::pick(candidates list, const context& in, random_engine& random) const {
  // One choice among the nearest, one among all: the round trip decides only between equal loads.
  const auto draw = [&](std::size_t n) -> const candidate& {
    return list[std::uniform_int_distribution<std::size_t>(0, n - 1)(random)];
  };
  route_choice best = price(draw(sort_nearest(list)), in);
  const auto consider = [&](const candidate& it) {
    route_choice other = price(it, in);
    if (other.cost < best.cost) {
      best = std::move(other);
    }
  };
  consider(draw(list.size()));
  const candidate* holder = nullptr;
  double held = 0;
  for (const candidate& it : list) {
    const bool has_kv = in.request.kv && in.request.kv->endpoint == it.where->id;
    const double share =
        has_kv ? 1 : in.hints.expected_share(it.where->id, in.request.prefix, in.now);
    if (share > held) {
      held = share;
      holder = &it;
    }
  }
  if (holder != nullptr) {
    consider(*holder);
  }
  return best;
}

double router::round_trip_seconds(const endpoint& it) const {
  if (it.data_centre == options_.data_centre) {
    return to_seconds(options_.same_data_centre);
  }
  return to_seconds(it.region == options_.region ? options_.same_region : options_.other_region);
}

double router::prefill_seconds(const candidate& it, const context& in, route_choice& out) const {
  const double prompt = in.request.prompt_tokens;
  out.cached_share = in.hints.expected_share(it.where->id, in.request.prefix, in.now);
  double tokens = prompt * (1 - out.cached_share);
  if (!in.request.kv) {
    return tokens / options_.prefill_rate;
  }
  const kv_location& kv = *in.request.kv;
  const double with_kv = std::max(0.0, prompt - kv.tokens) / options_.prefill_rate;
  if (kv.endpoint == it.where->id) {
    return with_kv;
  }
  const double recompute = tokens / options_.prefill_rate;
  const double moved =
      with_kv + to_seconds(options_.kv_move_setup) + kv.tokens / options_.kv_move_rate;
  // A draining endpoint can still export; one that is gone or set aside cannot be relied on.
  if (moved < recompute && in.table.find(kv.endpoint) != nullptr && in.health.usable(kv.endpoint)) {
    out.move = kv_move{kv.endpoint, kv.tokens};
    return moved;
  }
  return recompute;
}

route_choice router::price(const candidate& it, const context& in) const {
  route_choice out;
  out.endpoint = it.where->id;
  const double load = (it.outstanding + 1.0) / it.where->max_running;
  const double slowdown = 1 + (options_.full_batch_slowdown - 1) * std::min(load, 1.0);
  const double run = std::max(1, in.request.expected_tokens) / options_.decode_rate * slowdown;
  // Requests beyond the running ones wait for about their part of a run.
  const double wait = std::max(0.0, load - 1) * run;
  const double prefill = prefill_seconds(it, in, out);
  out.cost = round_trip_seconds(*it.where) +
             (prefill * slowdown + run + wait) * in.health.relative_pace(it.where->id);
  return out;
}

} // namespace boragedoor::routing
