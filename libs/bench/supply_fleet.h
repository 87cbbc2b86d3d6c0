#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "bench/supply_model.h"
#include "freshness/weight_rollout.h"
#include "scaling/endpoint_scaler.h"

namespace boragedoor::bench {

enum class supply_state { starting, ready, draining, gone };

/// One engine of the supply scenario. Its streams pause while it loads weights and go on with them.
struct supply_engine {
  std::string id;
  std::size_t data_centre = 0;
  std::size_t model = 0;
  scaling::capacity_tier tier = scaling::capacity_tier::standard;
  supply_state state = supply_state::starting;
  time_point ready_at{};
  std::uint64_t version = 0;
  /// Version being loaded, 0 for none, and the end of the load.
  std::uint64_t loading = 0;
  time_point load_end{};
  bool load_fails = false;
  bool load_loses_weights = false;
  time_point reclaimed_at = time_point::max();
  int rollouts = 0;
  int chats = 0;

  [[nodiscard]] int running() const { return rollouts + chats; }
  [[nodiscard]] bool alive() const { return state != supply_state::gone; }
  /// Whether its streams make progress.
  [[nodiscard]] bool serves() const {
    return (state == supply_state::ready || state == supply_state::draining) && loading == 0 &&
           version != 0;
  }
};

/// Engines and the platform's side of orders, swaps and faults.
class supply_fleet {
public:
  supply_fleet(const supply_plan& plan, const supply_faults& faults, std::uint64_t seed);

  /// Starts and drains engines of a model until the counts are as ordered. Returns false when the
  /// platform has no cheaper capacity there.
  bool order(std::size_t model, const scaling::endpoint_order& it, time_point now);
  /// Orders what lost data centres had, when they are back.
  void repeat_orders(time_point now);
  /// Begins to load weights. Returns false when the weight store refuses the fetch.
  bool begin_load(std::size_t engine, std::uint64_t version, time_point now);
  /// Completes starts, loads, drains and faults up to `now`; returns engines whose load ended.
  std::vector<std::size_t> advance(time_point now);

  [[nodiscard]] std::vector<supply_engine>& engines() { return engines_; }
  [[nodiscard]] const std::vector<supply_engine>& engines() const { return engines_; }
  [[nodiscard]] std::size_t find(std::string_view id) const;
  [[nodiscard]] bool lost(std::size_t data_centre, time_point now) const;
  [[nodiscard]] bool cheap_to_be_had(std::size_t data_centre, time_point now) const;
  [[nodiscard]] std::vector<scaling::data_centre_supply> supply(std::size_t model,
                                                                time_point now) const;
  /// Whether cheaper endpoints of the model there were given notice and are not gone yet.
  [[nodiscard]] bool reclaiming(std::size_t model, std::size_t data_centre, time_point now) const;
  [[nodiscard]] std::uint64_t refused_fetches() const { return refused_fetches_; }

private:
  struct order_key {
    std::size_t model = 0;
    scaling::endpoint_order order;
  };
  [[nodiscard]] std::size_t data_centre_index(std::string_view name) const;
  [[nodiscard]] int count(std::size_t model, std::size_t data_centre,
                          scaling::capacity_tier tier) const;
  void start(std::size_t model, std::size_t data_centre, scaling::capacity_tier tier,
             time_point now);
  bool drain_one(std::size_t model, std::size_t data_centre, scaling::capacity_tier tier);
  void apply_faults(time_point now);

  supply_plan plan_;
  supply_faults faults_;
  random_engine random_;
  std::vector<supply_engine> engines_;
  std::vector<order_key> orders_;
  std::vector<std::size_t> reclaims_done_;
  double fetch_tokens_;
  time_point refilled_{};
  std::uint64_t refused_fetches_ = 0;
};

} // namespace boragedoor::bench
