#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/time.h"

namespace boragedoor::duties {

/// State of an engine according to the registry and the engine's reports. An engine can hold
/// several models.
struct engine_state {
  std::string id;
  /// Number of requests that run or wait there.
  int load = 0;
  std::map<std::string, std::uint64_t, std::less<>> versions;
  /// Number of requests that it runs at once.
  int slots = 1;
};

/// The steps of a model that the job records show.
struct step_demand {
  /// Items of a step.
  int items = 0;
  /// When the oldest open step was submitted; nothing if none is open. Its end lets the trainer
  /// name the next version and submit the step that needs the newest one.
  std::optional<wall_time> oldest_open{};
};

/// What a load is for: engines that a running step lacks, those that the next step will need, or
/// more than these. Needs go first.
enum class load_purpose { current_step, next_step, surplus };

std::string_view to_string(load_purpose it);

/// Order to load a version of a model on an engine.
struct load_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;
  load_purpose purpose = load_purpose::surplus;

  friend bool operator==(const load_order&, const load_order&) = default;
};

struct weight_schedule_options {
  /// Number of versions that an engine may lag behind the newest and still be usable: a step
  /// accepts the version before its own.
  std::uint64_t tolerated_lag = 1;
  /// Once a version has been the newest for this long, all engines load it, because no step is
  /// about to start.
  duration catch_up_delay = seconds(10);
  /// Minimum number of concurrent loads, and their initial number as a share of the engines. Loads
  /// beyond what the weight store serves at full speed slow each other down, so the limit is then
  /// adjusted to the observed load times.
  std::size_t min_concurrent_loads = 2;
  double initial_load_share = 0.22;
  /// A load takes 0.9 s and shows in reports about 0.2 s later. Loads that take longer than this
  /// threshold are slowing each other down.
  duration slow_load_threshold = milliseconds(1300);
  /// Share of the concurrent loads for engines beyond those that the steps need. The others are
  /// free when a version is announced whose step starts at once.
  double surplus_load_share = 0.5;
  /// Increase of the limit for each load that was not slow.
  double limit_increase = 0.05;
  /// A load that has not been reported within this time is ordered again. Loads take about one
  /// second.
  duration load_timeout = seconds(4);
  /// Time between two decisions while nothing is recorded, for engines that join or may be ordered
  /// again.
  duration decision_interval = milliseconds(200);
  /// Delay before an engine gets another order after a failed one.
  duration retry_delay = milliseconds(500);
};

/// Decides which engines load new weights, and when.
///
/// Design note: a step starts as soon as a version is announced, and ends with its longest texts. A
/// load pauses the runs of its engine for about a second. So engines load if their weights are too
/// old for the new step; of the others, only as many load as bring half of all engines to the
/// newest version. Each engine then loads every second version, and the others run the step without
/// interruption.
///
/// Engines that hold several models cannot load every version of each, and a step waits for slots
/// if few engines are usable for its model. The steps' sizes tell how many engines each model
/// needs. A model whose current step lacks engines loads first, then one whose next step will: the
/// engines with the newest weights when the next version is announced. Among these, the model whose
/// oldest open step was submitted first goes first: its trainer submits the next step soonest. Once
/// all steps have what they need, part of the loads goes to the model that has the fewest engines
/// for the current step and the next one together. Among a model's engines, one that is usable for
/// few models goes first, then the least loaded.
class weight_schedule {
public:
  explicit weight_schedule(const weight_schedule_options& options = {}) : options_(options) {}

  /// Sets the steps of each model, as far as they are known.
  void set_steps(std::map<std::string, step_demand, std::less<>> steps) {
    steps_ = std::move(steps);
  }
  /// Records an announced version. A version that is not newer than the newest is ignored.
  void announce(std::string_view model, std::uint64_t version, time_point now);
  [[nodiscard]] std::uint64_t newest(std::string_view model) const;

  /// Whether `decide` may return orders: something was recorded since the last decision, or that
  /// was `decision_interval` ago. Collecting the states of thousands of engines takes milliseconds.
  [[nodiscard]] bool wants_decision(time_point now) const;
  /// Returns the orders to send now and records them as sent.
  std::vector<load_order> decide(const std::vector<engine_state>& engines, time_point now);
  /// Records that an engine reported that it holds the version.
  void loaded(std::string_view engine, std::string_view model, std::uint64_t version,
              time_point now);
  /// Number of engines that may load concurrently.
  [[nodiscard]] std::size_t max_concurrent_loads() const;
  /// Records that an order was refused or not answered. The engine gets another after
  /// `retry_delay`.
  void failed(std::string_view engine, time_point now);

private:
  /// Counts of the engines that hold a model.
  struct coverage {
    std::size_t total = 0;
    /// Engines whose weights the current step accepts, or that are loading the model.
    std::size_t usable = 0;
    /// Engines that have the newest weights or are loading the model.
    std::size_t current = 0;
    /// Engines that run all items of a step at once; 0 if its size is not known.
    std::size_t needed = 0;
    /// See `step_demand::oldest_open`; the latest time if none is open.
    wall_time oldest_open = wall_time::max();
  };
  [[nodiscard]] std::map<std::string, coverage, std::less<>>
  count_coverage(const std::vector<engine_state>& engines) const;
  /// An engine that may load a model.
  struct candidate {
    const engine_state* engine = nullptr;
    bool too_old = false;
    /// Order among the candidates for the model: engines that are too old, then those that are
    /// usable for few models, then those with little load.
    std::tuple<bool, std::size_t, int> rank;
  };
  /// The candidates for a model, the best first, and how many of them were ordered or passed over.
  struct candidate_list {
    std::vector<candidate> list;
    std::size_t next = 0;
  };
  using candidate_lists = std::map<std::string, candidate_list, std::less<>>;

  [[nodiscard]] candidate_lists find_candidates(const std::vector<engine_state>& engines,
                                                time_point now) const;
  /// Order among the models: the purpose of a load for them, for the next steps the time of the
  /// oldest open step, and how much of the purpose is covered.
  using model_rank = std::tuple<load_purpose, wall_time, double>;
  [[nodiscard]] static model_rank rank_model(const coverage& covered, const candidate& head);
  /// Returns the next load, and passes over the candidates that are loading by now.
  [[nodiscard]] std::optional<load_order>
  next_load(candidate_lists& candidates, const std::map<std::string, coverage, std::less<>>& models,
            time_point now) const;
  /// Number of models whose current step accepts the engine's weights.
  [[nodiscard]] std::size_t usable_models(const engine_state& it) const;
  [[nodiscard]] bool is_loading(std::string_view engine, std::string_view model) const;
  [[nodiscard]] bool is_paused(std::string_view engine, time_point now) const;

  struct load {
    load_order order;
    time_point since{};
  };

  weight_schedule_options options_;
  struct announced_version {
    std::uint64_t version = 0;
    time_point since{};
  };
  std::map<std::string, announced_version, std::less<>> newest_;
  std::map<std::string, step_demand, std::less<>> steps_;
  std::map<std::string, load, std::less<>> loading_;
  /// Limit of concurrent loads before `min_concurrent_loads` applies; 0 until a version is
  /// announced. Fractional, because each load that is not slow adds `limit_increase`.
  double load_limit_ = 0;
  time_point last_decision_{};
  bool changed_ = true;
  time_point last_limit_decrease_{};
  std::map<std::string, time_point, std::less<>> not_before_;
};

} // namespace boragedoor::duties
