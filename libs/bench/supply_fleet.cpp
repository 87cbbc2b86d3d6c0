#include "bench/supply_fleet.h"

#include <algorithm>

namespace boragedoor::bench {

namespace {

using scaling::capacity_tier;

// Part of the failed loads that leave the engine without weights.
constexpr double weights_lost_share = 0.3;

bool draw(random_engine& random, double share) {
  return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

} // namespace

supply_fleet::supply_fleet(const supply_plan& plan, const supply_faults& faults, std::uint64_t seed)
    : plan_(plan), faults_(faults), random_(seed), fetch_tokens_(plan.fetches_per_second) {}

std::size_t supply_fleet::data_centre_index(std::string_view name) const {
  const auto& all = plan_.where.data_centres;
  return static_cast<std::size_t>(std::find(all.begin(), all.end(), name) - all.begin());
}

bool supply_fleet::lost(std::size_t data_centre, time_point now) const {
  return faults_.lost_data_centre == static_cast<int>(data_centre) &&
         faults_.loss.contains(now.time_since_epoch());
}

bool supply_fleet::cheap_to_be_had(std::size_t data_centre, time_point now) const {
  const duration at = now.time_since_epoch();
  for (std::size_t i = 0; i < faults_.reclaims.size(); ++i) {
    if (i % plan_.where.data_centres.size() == data_centre && faults_.reclaims[i].contains(at)) {
      return false;
    }
  }
  return !faults_.cheap_unavailable.contains(at);
}

bool supply_fleet::reclaiming(std::size_t model, std::size_t data_centre, time_point now) const {
  // The notice stands for one more interval of the scaler, so that it is not missed between two.
  return std::any_of(engines_.begin(), engines_.end(), [&](const supply_engine& it) {
    return it.model == model && it.data_centre == data_centre &&
           it.reclaimed_at != time_point::max() && now < it.reclaimed_at + seconds(10);
  });
}

int supply_fleet::count(std::size_t model, std::size_t data_centre, capacity_tier tier) const {
  return static_cast<int>(std::count_if(engines_.begin(), engines_.end(), [&](const auto& it) {
    const bool counts = it.state == supply_state::starting || it.state == supply_state::ready;
    return counts && it.model == model && it.data_centre == data_centre && it.tier == tier;
  }));
}

void supply_fleet::start(std::size_t model, std::size_t data_centre, capacity_tier tier,
                         time_point now) {
  supply_engine it;
  it.id = "engine" + std::to_string(10'000 + engines_.size());
  it.data_centre = data_centre;
  it.model = model;
  it.tier = tier;
  // What is ordered before the run begins is there when it does.
  it.ready_at = now.time_since_epoch() == duration{} ? now : now + plan_.start_up;
  engines_.push_back(it);
}

bool supply_fleet::drain_one(std::size_t model, std::size_t data_centre, capacity_tier tier) {
  supply_engine* chosen = nullptr;
  for (supply_engine& it : engines_) {
    const bool counts = it.state == supply_state::starting || it.state == supply_state::ready;
    if (counts && it.model == model && it.data_centre == data_centre && it.tier == tier &&
        (chosen == nullptr || it.running() < chosen->running())) {
      chosen = &it;
    }
  }
  if (chosen != nullptr) {
    chosen->state = supply_state::draining;
  }
  return chosen != nullptr;
}

bool supply_fleet::order(std::size_t model, const scaling::endpoint_order& it, time_point now) {
  const auto known = std::find_if(orders_.begin(), orders_.end(), [&](const order_key& one) {
    return one.model == model && one.order.data_centre == it.data_centre &&
           one.order.tier == it.tier;
  });
  if (known == orders_.end()) {
    orders_.push_back({model, it});
  } else {
    known->order = it;
  }
  const std::size_t data_centre = data_centre_index(it.data_centre);
  if (lost(data_centre, now)) {
    return true;
  }
  int present = count(model, data_centre, it.tier);
  for (; present > it.count; --present) {
    drain_one(model, data_centre, it.tier);
  }
  if (present < it.count && it.tier == capacity_tier::cheap && !cheap_to_be_had(data_centre, now)) {
    return false;
  }
  for (; present < it.count; ++present) {
    start(model, data_centre, it.tier, now);
  }
  return true;
}

void supply_fleet::repeat_orders(time_point now) {
  const std::vector<order_key> all = orders_;
  for (const order_key& it : all) {
    if (it.order.tier == capacity_tier::standard) {
      order(it.model, it.order, now);
    }
  }
}

bool supply_fleet::begin_load(std::size_t engine, std::uint64_t version, time_point now) {
  const double passed = std::chrono::duration<double>(now - refilled_).count();
  fetch_tokens_ =
      std::min(plan_.fetches_per_second, fetch_tokens_ + passed * plan_.fetches_per_second);
  refilled_ = now;
  if (fetch_tokens_ < 1) {
    refused_fetches_ += 1;
    return false;
  }
  fetch_tokens_ -= 1;
  supply_engine& it = engines_[engine];
  it.loading = version;
  it.load_end = now + plan_.swap_duration;
  it.load_fails = draw(random_, faults_.swap_failure_share);
  it.load_loses_weights = it.load_fails && draw(random_, weights_lost_share);
  return true;
}

void supply_fleet::apply_faults(time_point now) {
  const std::size_t places = plan_.where.data_centres.size();
  for (std::size_t i = 0; i < faults_.reclaims.size(); ++i) {
    if (now.time_since_epoch() < faults_.reclaims[i].from ||
        std::find(reclaims_done_.begin(), reclaims_done_.end(), i) != reclaims_done_.end()) {
      continue;
    }
    reclaims_done_.push_back(i);
    for (supply_engine& it : engines_) {
      if (it.alive() && it.tier == capacity_tier::cheap && it.data_centre == i % places) {
        it.reclaimed_at = now + plan_.reclaim_notice;
        it.state = supply_state::draining;
      }
    }
  }
  for (supply_engine& it : engines_) {
    if (it.alive() && (lost(it.data_centre, now) || now >= it.reclaimed_at)) {
      it.state = supply_state::gone;
      it.loading = 0;
    }
  }
}

std::vector<std::size_t> supply_fleet::advance(time_point now) {
  apply_faults(now);
  std::vector<std::size_t> ended;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    supply_engine& it = engines_[i];
    if (it.state == supply_state::starting && now >= it.ready_at) {
      it.state = supply_state::ready;
    }
    if (it.state == supply_state::draining && it.running() == 0) {
      it.state = supply_state::gone;
    }
    if (it.alive() && it.loading != 0 && now >= it.load_end) {
      if (it.load_loses_weights) {
        it.version = 0;
      } else if (!it.load_fails) {
        it.version = it.loading;
      }
      it.loading = 0;
      ended.push_back(i);
    }
  }
  return ended;
}

std::size_t supply_fleet::find(std::string_view id) const {
  return static_cast<std::size_t>(
      std::find_if(engines_.begin(), engines_.end(), [id](const auto& it) { return it.id == id; }) -
      engines_.begin());
}

std::vector<scaling::data_centre_supply> supply_fleet::supply(std::size_t model,
                                                              time_point now) const {
  std::vector<scaling::data_centre_supply> out;
  for (std::size_t i = 0; i < plan_.where.data_centres.size(); ++i) {
    out.push_back({plan_.where.data_centres[i], count(model, i, capacity_tier::standard),
                   count(model, i, capacity_tier::cheap), lost(i, now)});
  }
  return out;
}

} // namespace boragedoor::bench
