// The streams of the supply scenario: starts, progress, moves and ends of samples and chats.
#include <algorithm>
#include <numeric>

#include "bench/supply_simulation.h"
#include "freshness/group_order.h"
#include "freshness/naive_group_order.h"

namespace boragedoor::bench {

namespace {

constexpr double tick_seconds = 0.1;
// Slots of each standard engine that rollouts leave to chats.
constexpr int chat_slots = 2;
// Text that is in flight to the instance when an engine is lost is produced again.
constexpr double unsent_seconds = 1;
// A sample beyond its expected length is taken to have this part of its length to go.
constexpr double overrun_share = 0.1;

duration from_seconds(double it) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
}

} // namespace

double supply_simulation::rate(const supply_engine& it) const {
  const endpoint_model model = engine_model();
  const double load = std::min(1.0, 1.0 * it.running() / model.slots);
  return model.rate / (1 + (model.full_slowdown - 1) * load);
}

double supply_simulation::typical_rate(std::size_t model) const {
  double sum = 0;
  int n = 0;
  for (const supply_engine& it : fleet_.engines()) {
    if (it.model == model && it.serves()) {
      sum += rate(it);
      n += 1;
    }
  }
  return n == 0 ? full_rate(engine_model()) / engine_model().slots : sum / n;
}

void supply_simulation::leave_engine(supply_sample& it) {
  fleet_.engines()[it.engine].rollouts -= 1;
  it.engine = no_engine;
  it.state = sample_state::waiting;
  it.straggles = false;
}

// Moves streams off engines that are gone or lost their weights.
void supply_simulation::release_streams() {
  const auto broken = [this](std::size_t engine) {
    const supply_engine& it = fleet_.engines()[engine];
    return !it.alive() || (it.version == 0 && it.loading == 0);
  };
  for (supply_trainer& trainer : trainers_) {
    for (supply_group& group : trainer.groups()) {
      for (supply_sample& it : group.samples) {
        if (it.state != sample_state::running || !broken(it.engine)) {
          continue;
        }
        const supply_engine& engine = fleet_.engines()[it.engine];
        const double lost = std::min(it.done, unsent_seconds * rate(engine));
        it.done -= lost;
        if (engine.tier == scaling::capacity_tier::cheap) {
          cheap_lost_ += lost;
        }
        leave_engine(it);
      }
    }
  }
  for (chat& it : chats_) {
    if (it.engine != no_engine && broken(it.engine)) {
      fleet_.engines()[it.engine].chats -= 1;
      it.engine = no_engine;
    }
  }
}

void supply_simulation::run_samples() {
  for (supply_trainer& trainer : trainers_) {
    for (supply_group& group : trainer.groups()) {
      for (supply_sample& it : group.samples) {
        if (it.state != sample_state::running) {
          continue;
        }
        const supply_engine& engine = fleet_.engines()[it.engine];
        if (!engine.serves() || now_ < it.prefilled) {
          continue;
        }
        const double slower = it.straggles ? it.length.straggle : 1;
        const double produced =
            std::min(rate(engine) * tick_seconds / slower, it.length.tokens - it.done);
        it.oldest_version =
            it.oldest_version == 0 ? engine.version : std::min(it.oldest_version, engine.version);
        it.done += produced;
        tokens_ += produced;
        cheap_tokens_ += engine.tier == scaling::capacity_tier::cheap ? produced : 0;
        if (it.done >= it.length.tokens) {
          leave_engine(it);
          it.state = sample_state::finished;
        }
      }
      const bool complete =
          std::all_of(group.samples.begin(), group.samples.end(),
                      [](const auto& it) { return it.state == sample_state::finished; });
      if (complete && !group.complete) {
        trainer.note_complete(group, now_);
      }
    }
  }
}

void supply_simulation::run_chats() {
  for (; next_arrival_ < arrivals_.size() && arrivals_[next_arrival_].at <= now_.time_since_epoch();
       ++next_arrival_) {
    chats_.push_back({arrivals_[next_arrival_]});
  }
  for (chat& it : chats_) {
    if (it.engine == no_engine || !fleet_.engines()[it.engine].serves()) {
      it.delay_seconds += tick_seconds;
      continue;
    }
    it.done += rate(fleet_.engines()[it.engine]) * tick_seconds;
    if (it.done >= it.what.tokens) {
      fleet_.engines()[it.engine].chats -= 1;
      chat_delays_.push_back(it.delay_seconds);
    }
  }
  std::erase_if(chats_, [](const chat& it) { return it.done >= it.what.tokens; });
}

bool supply_simulation::due(const supply_engine& it) const {
  const auto* waves = std::get_if<freshness::weight_rollout>(&weights_);
  return waves != nullptr && waves->due(it.id);
}

std::size_t supply_simulation::choose_engine(std::size_t model, std::uint64_t minimum_version,
                                             bool is_chat, std::size_t excluded) const {
  const auto& all = fleet_.engines();
  std::size_t chosen = no_engine;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const supply_engine& it = all[i];
    const bool cheap = it.tier == scaling::capacity_tier::cheap;
    const int slots = engine_model().slots - (is_chat || cheap ? 0 : chat_slots);
    const bool fits = it.model == model && it.state == supply_state::ready && it.serves() &&
                      it.version >= minimum_version && it.running() < slots && i != excluded &&
                      !(is_chat && cheap);
    const auto cost = [&](std::size_t n) {
      // Chats are short: where weights are about to be loaded they would stand still.
      return std::pair(is_chat && due(all[n]), all[n].running());
    };
    if (fits && (chosen == no_engine || cost(i) < cost(chosen))) {
      chosen = i;
    }
  }
  return chosen;
}

void supply_simulation::start_chats() {
  for (chat& it : chats_) {
    if (it.engine != no_engine) {
      continue;
    }
    it.engine = choose_engine(it.what.model, 0, true, no_engine);
    if (it.engine != no_engine) {
      fleet_.engines()[it.engine].chats += 1;
    }
  }
}

bool supply_simulation::start_sample(const sample_ref& ref) {
  supply_trainer& trainer = trainers_[ref.trainer];
  supply_group& group = trainer.groups()[ref.group];
  supply_sample& it = group.samples[ref.sample];
  const std::size_t model = trainer.plan().model;
  std::uint64_t minimum = 0;
  if (options_.parts.sample_freshness) {
    const double left = std::max(0.0, it.length.predicted - it.done);
    minimum = fresh_.minimum_version(
        trainer.plan().name, from_seconds(left / typical_rate(model)) + trainer.delivery_wait(),
        now_);
    if (it.oldest_version != 0 && it.done > 0) {
      // Its text keeps the old version in any case; any engine may go on with it.
      minimum = 0;
    }
  }
  it.engine = choose_engine(model, minimum, false, no_engine);
  if (it.engine == no_engine) {
    return false;
  }
  fleet_.engines()[it.engine].rollouts += 1;
  it.state = sample_state::running;
  it.prefilled = now_ + from_seconds((500 + it.done) / engine_model().prefill_rate);
  group.started = true;
  return true;
}

bool supply_simulation::may_start(const sample_ref& ref) {
  supply_trainer& trainer = trainers_[ref.trainer];
  const auto& groups = trainer.groups();
  if (!options_.parts.start_limit || groups[ref.group].started) {
    return true;
  }
  const auto open = std::count_if(groups.begin(), groups.end(),
                                  [](const supply_group& it) { return it.started; });
  return open < starts_.limit(trainer.plan().name);
}

void supply_simulation::start_samples() {
  std::vector<sample_ref> refs;
  std::vector<freshness::waiting_sample> waiting;
  std::vector<freshness::trainer_work> work;
  for (std::size_t t = 0; t < trainers_.size(); ++t) {
    work.push_back({trainers_[t].plan().name, 0});
    for (std::size_t g = 0; g < trainers_[t].groups().size(); ++g) {
      const supply_group& group = trainers_[t].groups()[g];
      for (std::size_t s = 0; s < group.samples.size(); ++s) {
        const supply_sample& it = group.samples[s];
        const double left = std::max(it.length.predicted - it.done, overrun_share * it.done);
        if (it.state == sample_state::running) {
          work.back().running += left;
        } else if (it.state == sample_state::waiting) {
          refs.push_back({t, g, s});
          waiting.push_back({trainers_[t].plan().name, group.number, left, group.started});
        }
      }
    }
  }
  if (waiting.empty()) {
    return;
  }
  std::vector<bool> full(options_.plan.models.size());
  const auto order = options_.parts.group_order ? freshness::group_order(waiting, work)
                                                : freshness::naive_group_order(waiting);
  for (const std::size_t i : order) {
    const std::size_t model = trainers_[refs[i].trainer].plan().model;
    if (!may_start(refs[i])) {
      continue;
    }
    if (!full[model] && !start_sample(refs[i])) {
      // Others may do with older weights, unless no slot is free at all.
      full[model] = choose_engine(model, 0, false, no_engine) == no_engine;
    }
  }
}

duration supply_simulation::expected_rest(const supply_sample& it, std::size_t model,
                                          bool elsewhere) const {
  if (it.state == sample_state::finished) {
    return {};
  }
  const double left = std::max(it.length.predicted - it.done, overrun_share * it.done);
  double pace = typical_rate(model);
  if (!elsewhere && it.state == sample_state::running) {
    pace = rate(fleet_.engines()[it.engine]) / (it.straggles ? it.length.straggle : 1);
  }
  return from_seconds(left / pace);
}

void supply_simulation::check_samples() {
  for (supply_trainer& trainer : trainers_) {
    for (supply_group& group : trainer.groups()) {
      if (!group.complete) {
        check_group(trainer, group);
      }
    }
  }
}

void supply_simulation::check_group(supply_trainer& trainer, supply_group& group) {
  const std::size_t model = trainer.plan().model;
  duration rest{};
  for (const supply_sample& it : group.samples) {
    rest =
        std::max(rest, std::min(expected_rest(it, model, false), expected_rest(it, model, true)));
  }
  for (supply_sample& it : group.samples) {
    if (it.oldest_version == 0) {
      continue;
    }
    const duration whole = from_seconds(it.length.predicted / typical_rate(model));
    const auto decision =
        fresh_.check({.trainer = trainer.plan().name,
                      .oldest_version = it.oldest_version,
                      .remaining = std::max(rest, expected_rest(it, model, false)),
                      .remaining_elsewhere = std::max(rest, expected_rest(it, model, true)),
                      .whole = std::max(rest, whole)},
                     now_);
    if (decision == freshness::sample_decision::keep) {
      continue;
    }
    if (it.state == sample_state::running) {
      leave_engine(it);
    }
    if (decision == freshness::sample_decision::restart) {
      trainer.restart(it);
      restarted_ += 1;
    } else {
      resumed_ += 1;
    }
  }
}

} // namespace boragedoor::bench
