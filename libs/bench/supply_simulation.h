#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bench/supply_fleet.h"
#include "bench/supply_model.h"
#include "bench/supply_report.h"
#include "bench/supply_trainer.h"
#include "freshness/naive_weight_rollout.h"
#include "freshness/sample_freshness.h"
#include "freshness/start_limit.h"
#include "freshness/weight_rollout.h"
#include "scaling/endpoint_scaler.h"

namespace boragedoor::bench {

struct supply_options {
  supply_plan plan;
  supply_parts parts;
  supply_faults faults;
  std::uint64_t seed = 1;
  duration length = seconds(4 * 3'600);
};

/// One run of trainers, chats, engines and their supply in virtual time, in steps of 100 ms.
/// Lengths, chats and faults depend on the options only; trainers answer to what they get.
class supply_simulation {
public:
  /// Fails with the first decision that refuses its options.
  static result<std::unique_ptr<supply_simulation>> create(const supply_options& options);

  supply_figures run();

private:
  using rollout = std::variant<freshness::weight_rollout, freshness::naive_weight_rollout>;
  struct chat {
    chat_arrival what;
    double done = 0;
    std::size_t engine = no_engine;
    /// Time in which it made no progress, before and after its start.
    double delay_seconds = 0;
  };
  struct sample_ref {
    std::size_t trainer = 0;
    std::size_t group = 0;
    std::size_t sample = 0;
  };
  struct published {
    std::uint64_t version = 0;
    time_point at{};
  };
  struct model_use {
    double requests = 0;
    double harmless = 0;
    int measurements = 0;
  };

  supply_simulation(const supply_options& options, rollout weights,
                    freshness::sample_freshness fresh, freshness::start_limit starts);
  void train(supply_trainer& it);
  result<void> add_scalers();
  void step();

  // Engines and weights.
  void advance_engines();
  void release_streams();
  void publish(std::size_t model);
  void roll_out();
  void note_complete_rollouts();

  // Streams.
  [[nodiscard]] double rate(const supply_engine& it) const;
  [[nodiscard]] double typical_rate(std::size_t model) const;
  void run_samples();
  void run_chats();
  void start_chats();
  void start_samples();
  [[nodiscard]] bool may_start(const sample_ref& ref);
  bool start_sample(const sample_ref& ref);
  [[nodiscard]] bool due(const supply_engine& it) const;
  [[nodiscard]] std::size_t choose_engine(std::size_t model, std::uint64_t minimum_version,
                                          bool is_chat, std::size_t excluded) const;
  void leave_engine(supply_sample& it);
  void check_samples();
  void check_group(supply_trainer& trainer, supply_group& it);
  [[nodiscard]] duration expected_rest(const supply_sample& it, std::size_t model,
                                       bool elsewhere) const;

  // Supply.
  void measure_use();
  void scale();
  void charge();
  [[nodiscard]] supply_figures figures() const;

  supply_options options_;
  rollout weights_;
  freshness::sample_freshness fresh_;
  freshness::start_limit starts_;
  std::vector<scaling::endpoint_scaler> scalers_;
  supply_fleet fleet_;
  random_engine random_;
  std::vector<supply_trainer> trainers_;
  std::vector<std::uint64_t> newest_;
  std::vector<std::deque<published>> pending_;
  std::vector<chat_arrival> arrivals_;
  std::size_t next_arrival_ = 0;
  std::vector<chat> chats_;
  std::vector<model_use> use_;
  time_point now_{};
  std::uint64_t ticks_ = 0;

  std::vector<double> rollout_seconds_;
  std::vector<double> chat_delays_;
  double worst_swapping_ = 0;
  double spend_hours_ = 0;
  double cheap_hours_ = 0;
  double tokens_ = 0;
  double cheap_tokens_ = 0;
  double cheap_lost_ = 0;
  std::uint64_t resumed_ = 0;
  std::uint64_t restarted_ = 0;
  std::uint64_t set_aside_ = 0;
  std::uint64_t orders_ = 0;
};

} // namespace boragedoor::bench
