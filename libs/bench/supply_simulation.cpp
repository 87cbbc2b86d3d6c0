#include "bench/supply_simulation.h"

#include <algorithm>
#include <numeric>

#include "scaling/naive_scaler.h"

namespace boragedoor::bench {

namespace {

constexpr duration tick = milliseconds(100);
constexpr std::uint64_t ticks_per_second = 10;
constexpr std::uint64_t check_ticks = 50;
constexpr std::uint64_t scale_ticks = 100;
// An interactive response is late when it stood still for longer than this in all.
constexpr double late_seconds = 2;

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

scaling::pool_plan pool_of(const supply_plan& plan, std::size_t model) {
  scaling::pool_plan out;
  out.pool = plan.models[model];
  out.concurrency = engine_model().slots;
  out.startup_time = plan.start_up;
  for (const std::string& it : plan.where.data_centres) {
    out.data_centres.push_back({it, plan.minimum, plan.maximum, plan.maximum - plan.minimum});
  }
  return out;
}

} // namespace

supply_simulation::supply_simulation(const supply_options& options, rollout weights,
                                     freshness::sample_freshness fresh,
                                     freshness::start_limit starts)
    : options_(options), weights_(std::move(weights)), fresh_(std::move(fresh)),
      starts_(std::move(starts)), fleet_(options.plan, options.faults, options.seed),
      random_(options.seed), newest_(options.plan.models.size(), 1),
      pending_(options.plan.models.size()),
      arrivals_(draw_chats(options.plan, options.seed, options.length)),
      use_(options.plan.models.size()) {
  for (std::size_t i = 0; i < options.plan.trainers.size(); ++i) {
    const trainer_plan& it = options.plan.trainers[i];
    trainers_.emplace_back(it, i, options.seed, options.faults.straggler_share);
    fresh_.put_trainer(it.name, it.staleness_bound);
    fresh_.announce(it.name, 1, now_);
  }
}

result<std::unique_ptr<supply_simulation>>
supply_simulation::create(const supply_options& options) {
  freshness::weight_rollout_options limits;
  limits.fetches_per_second = options.plan.fetches_per_second;
  limits.fetch_burst = options.plan.fetches_per_second;
  limits.swap_duration = options.plan.swap_duration;
  BOOST_OUTCOME_TRY(waves, freshness::weight_rollout::create(limits));
  rollout weights = freshness::naive_weight_rollout{};
  if (options.parts.weight_rollout) {
    weights = std::move(waves);
  }
  BOOST_OUTCOME_TRY(fresh, freshness::sample_freshness::create({}));
  BOOST_OUTCOME_TRY(starts, freshness::start_limit::create({}));
  auto out = std::unique_ptr<supply_simulation>(
      new supply_simulation(options, std::move(weights), std::move(fresh), std::move(starts)));
  BOOST_OUTCOME_TRY(out->add_scalers());
  return out;
}

result<void> supply_simulation::add_scalers() {
  const supply_plan& plan = options_.plan;
  for (std::size_t model = 0; model < plan.models.size(); ++model) {
    BOOST_OUTCOME_TRY(it, scaling::endpoint_scaler::create({}, pool_of(plan, model)));
    scalers_.push_back(std::move(it));
    // Both begin with the endpoints that the stated demand calls for.
    const double stated = plan.naive_endpoints * engine_model().slots;
    for (const auto& order : scaling::naive_scaler(pool_of(plan, model), stated)) {
      fleet_.order(model, order, now_);
    }
    std::visit([&](auto& policy) { policy.announce(plan.models[model], 1, now_); }, weights_);
  }
  for (supply_engine& it : fleet_.engines()) {
    it.version = 1;
  }
  return boost::outcome_v2::success();
}

supply_figures supply_simulation::run() {
  while (now_.time_since_epoch() < options_.length) {
    step();
    now_ += tick;
    ticks_ += 1;
  }
  return figures();
}

void supply_simulation::step() {
  advance_engines();
  run_samples();
  run_chats();
  for (supply_trainer& it : trainers_) {
    train(it);
  }
  roll_out();
  if (options_.parts.sample_freshness && ticks_ % check_ticks == 0) {
    check_samples();
  }
  start_chats();
  start_samples();
  if (ticks_ % ticks_per_second == 0) {
    measure_use();
  }
  if (ticks_ % scale_ticks == 0) {
    scale();
  }
  charge();
}

void supply_simulation::train(supply_trainer& it) {
  if (it.train(newest_[it.plan().model], now_, tick)) {
    publish(it.plan().model);
  }
  if (const auto complete = it.take_last()) {
    starts_.taken(it.plan().name, *complete, now_);
  } else if (it.idle()) {
    starts_.idle(it.plan().name, tick);
  }
  it.submit(now_);
}

void supply_simulation::publish(std::size_t model) {
  newest_[model] += 1;
  pending_[model].push_back({newest_[model], now_});
  std::visit([&](auto& it) { it.announce(options_.plan.models[model], newest_[model], now_); },
             weights_);
  for (const supply_trainer& it : trainers_) {
    if (it.plan().model == model) {
      fresh_.announce(it.plan().name, newest_[model], now_);
    }
  }
}

void supply_simulation::advance_engines() {
  for (const std::size_t i : fleet_.advance(now_)) {
    const supply_engine& it = fleet_.engines()[i];
    std::visit(
        [&](auto& policy) {
          if (it.load_fails) {
            policy.put({it.id, options_.plan.where.data_centres[it.data_centre],
                        options_.plan.models[it.model], it.version, it.running(), true});
            policy.swap_failed(it.id, now_, random_);
          } else {
            policy.swap_finished(it.id, it.version);
          }
        },
        weights_);
  }
  release_streams();
  note_complete_rollouts();
}

void supply_simulation::note_complete_rollouts() {
  for (std::size_t model = 0; model < pending_.size(); ++model) {
    std::uint64_t least = newest_[model];
    int ready = 0;
    int swapping = 0;
    for (const supply_engine& it : fleet_.engines()) {
      // An engine without weights serves no old ones.
      if (it.model == model && it.state == supply_state::ready && it.version != 0) {
        least = std::min(least, it.version);
        ready += 1;
        swapping += it.loading != 0 ? 1 : 0;
      }
    }
    worst_swapping_ = std::max(worst_swapping_, ready == 0 ? 0.0 : 1.0 * swapping / ready);
    while (!pending_[model].empty() && pending_[model].front().version <= least) {
      rollout_seconds_.push_back(to_seconds(now_ - pending_[model].front().at));
      pending_[model].pop_front();
    }
  }
}

void supply_simulation::roll_out() {
  const supply_plan& plan = options_.plan;
  const auto apply = [&](auto& policy) {
    for (const supply_engine& it : fleet_.engines()) {
      if (!it.alive()) {
        policy.remove(it.id);
      } else {
        policy.put({it.id, plan.where.data_centres[it.data_centre], plan.models[it.model],
                    it.version, it.running(), it.state == supply_state::ready});
      }
    }
    const auto load = [&](const std::string& engine, std::uint64_t version) {
      if (!fleet_.begin_load(fleet_.find(engine), version, now_)) {
        policy.swap_failed(engine, now_, random_);
      }
    };
    for (const freshness::rollout_action& it : policy.decide(now_, random_)) {
      if (const auto* swap = std::get_if<freshness::swap_order>(&it)) {
        load(swap->engine, swap->version);
      } else if (const auto* back = std::get_if<freshness::roll_back_order>(&it)) {
        load(back->engine, back->version);
      } else {
        set_aside_ += 1;
      }
    }
  };
  std::visit(apply, weights_);
}

void supply_simulation::measure_use() {
  std::vector<double> rollouts(use_.size());
  std::vector<double> chats(use_.size());
  for (supply_trainer& trainer : trainers_) {
    // Samples that are held back for later use no engine now.
    int startable = options_.parts.start_limit ? starts_.limit(trainer.plan().name)
                                               : trainer.plan().groups_in_flight;
    for (const supply_group& group : trainer.groups()) {
      startable -= group.started ? 1 : 0;
    }
    for (const supply_group& group : trainer.groups()) {
      if (!group.started && --startable < 0) {
        continue;
      }
      rollouts[trainer.plan().model] += static_cast<double>(
          std::count_if(group.samples.begin(), group.samples.end(),
                        [](const auto& it) { return it.state != sample_state::finished; }));
    }
  }
  for (const chat& it : chats_) {
    chats[it.what.model] += 1;
  }
  for (std::size_t i = 0; i < use_.size(); ++i) {
    const double all = rollouts[i] + chats[i];
    use_[i].requests += all;
    use_[i].harmless += all > 0 ? rollouts[i] / all : 0;
    use_[i].measurements += 1;
  }
}

void supply_simulation::scale() {
  fleet_.repeat_orders(now_);
  for (std::size_t model = 0; options_.parts.scaler && model < scalers_.size(); ++model) {
    const auto supply = fleet_.supply(model, now_);
    const double n = std::max(1, use_[model].measurements);
    const bool store_down = options_.faults.store_outage.contains(now_.time_since_epoch());
    for (std::size_t i = 0; i < supply.size(); ++i) {
      // The platform tells of a reclaim when it gives notice.
      if (fleet_.reclaiming(model, i, now_)) {
        scalers_[model].cheap_unavailable(supply[i].data_centre, now_);
      }
    }
    for (const auto& order : scalers_[model].decide(
             {use_[model].requests / n, use_[model].harmless / n, supply, store_down}, now_)) {
      orders_ += 1;
      if (!fleet_.order(model, order, now_)) {
        scalers_[model].cheap_unavailable(order.data_centre, now_);
      }
    }
    use_[model] = {};
  }
}

void supply_simulation::charge() {
  for (const supply_engine& it : fleet_.engines()) {
    if (it.alive()) {
      const bool cheap = it.tier == scaling::capacity_tier::cheap;
      const double hours = to_seconds(tick) / 3'600;
      spend_hours_ += cheap ? hours * options_.plan.cheap_price : hours;
      cheap_hours_ += cheap ? hours : 0;
    }
  }
}

supply_figures supply_simulation::figures() const {
  supply_trainer_sums all;
  for (const supply_trainer& it : trainers_) {
    const supply_trainer_sums& one = it.sums();
    all.idle_seconds += one.idle_seconds;
    all.active_seconds += one.active_seconds;
    all.groups += one.groups;
    all.voided += one.voided;
    all.versions += one.versions;
    all.staleness += one.staleness;
    all.worst_staleness = std::max(all.worst_staleness, one.worst_staleness);
    all.tokens += one.tokens;
    all.wasted_tokens += one.wasted_tokens;
  }
  std::vector<double> delays = chat_delays_;
  std::sort(delays.begin(), delays.end());
  const auto late = delays.end() - std::upper_bound(delays.begin(), delays.end(), late_seconds);
  const double chats = std::max<double>(1, static_cast<double>(delays.size()));
  const double rollouts = std::max<double>(1, static_cast<double>(rollout_seconds_.size()));
  const double groups = std::max<double>(1, static_cast<double>(all.groups));
  std::vector<double> swaps = rollout_seconds_;
  std::sort(swaps.begin(), swaps.end());
  const double worst_swap = swaps.empty() ? 0 : swaps.back();
  const double swap_sum = std::accumulate(swaps.begin(), swaps.end(), 0.0);
  return {{{"trainer idle share", all.idle_seconds / all.active_seconds},
           {"versions published", static_cast<double>(all.versions)},
           {"groups delivered", static_cast<double>(all.groups)},
           {"staleness mean (versions)", all.staleness / groups},
           {"staleness worst (versions)", static_cast<double>(all.worst_staleness)},
           {"share of groups over the bound",
            static_cast<double>(all.voided) / (groups + static_cast<double>(all.voided))},
           {"wasted token share", all.wasted_tokens / tokens_},
           {"samples restarted", static_cast<double>(restarted_)},
           {"samples resumed", static_cast<double>(resumed_)},
           {"spend (standard endpoint hours)", spend_hours_},
           {"spend per million delivered tokens", spend_hours_ / (all.tokens / 1e6)},
           {"chat late share", static_cast<double>(late) / chats},
           {"chat delay p99 (s)", delays.empty() ? 0 : delays[delays.size() * 99 / 100]},
           {"share of tokens on cheaper endpoints", cheap_tokens_ / tokens_},
           {"share of tokens lost there", cheap_lost_ / tokens_},
           {"time until all have new weights, mean (s)", swap_sum / rollouts},
           {"time until all have new weights, worst (s)", worst_swap},
           {"rollouts not complete at the end",
            static_cast<double>(
                std::accumulate(pending_.begin(), pending_.end(), std::size_t{0},
                                [](std::size_t n, const auto& it) { return n + it.size(); }))},
           {"worst share of engines swapping at once", worst_swapping_},
           {"fetches refused by the weight store", static_cast<double>(fleet_.refused_fetches())},
           {"engines set aside", static_cast<double>(set_aside_)},
           {"scaling orders", static_cast<double>(orders_)}}};
}

} // namespace boragedoor::bench
