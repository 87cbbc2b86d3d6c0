#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "bench/supply_model.h"

namespace boragedoor::bench {

enum class sample_state { waiting, running, finished };

inline constexpr std::size_t no_engine = static_cast<std::size_t>(-1);

struct supply_sample {
  sample_length length;
  sample_state state = sample_state::waiting;
  double done = 0;
  std::size_t engine = no_engine;
  /// Oldest version that took part, 0 before the first token.
  std::uint64_t oldest_version = 0;
  /// The first attempt may straggle; later ones do not.
  bool straggles = true;
  /// Prompt and kept text are processed until then.
  time_point prefilled{};
};

struct supply_group {
  std::size_t number = 0;
  std::vector<supply_sample> samples;
  bool started = false;
  /// Time at which its last sample ended.
  std::optional<time_point> complete{};

  [[nodiscard]] std::uint64_t oldest_version() const;
};

/// What happened at trainers, summed.
struct supply_trainer_sums {
  double idle_seconds = 0;
  double active_seconds = 0;
  std::uint64_t groups = 0;
  std::uint64_t voided = 0;
  std::uint64_t versions = 0;
  double staleness = 0;
  std::uint64_t worst_staleness = 0;
  double tokens = 0;
  double wasted_tokens = 0;
};

/// One trainer: keeps groups in flight, takes complete ones and publishes versions.
class supply_trainer {
public:
  supply_trainer(const trainer_plan& plan, std::size_t index, std::uint64_t seed,
                 double straggler_share);

  /// Adds new groups, up to those in flight, unless it rests.
  void submit(time_point now);
  /// Takes the next complete group when it is free, and voids those beyond the bound by `newest`.
  /// Returns true when this completes a version.
  bool train(std::uint64_t newest, time_point now, duration tick);
  void note_complete(supply_group& it, time_point now) { it.complete = now; }
  /// Throws a sample's work away and lets it start again.
  void restart(supply_sample& it);

  [[nodiscard]] std::vector<supply_group>& groups() { return groups_; }
  [[nodiscard]] const trainer_plan& plan() const { return plan_; }
  [[nodiscard]] const supply_trainer_sums& sums() const { return sums_; }
  /// Completion of the group taken last, until it is read.
  [[nodiscard]] std::optional<time_point> take_last() { return std::exchange(last_taken_, {}); }
  /// Whether the last call of `train` found nothing to take.
  [[nodiscard]] bool idle() const { return idle_; }
  /// Mean time from a group's completion until it is taken.
  [[nodiscard]] duration delivery_wait() const;

private:
  [[nodiscard]] bool rests(time_point now) const;
  void void_group(supply_group& it);
  void deliver(std::size_t index, std::uint64_t newest, time_point now);

  trainer_plan plan_;
  std::size_t index_;
  std::uint64_t seed_;
  double straggler_share_;
  std::vector<supply_group> groups_;
  std::size_t next_number_ = 0;
  int trained_ = 0;
  time_point busy_until_{};
  std::optional<time_point> last_taken_{};
  bool idle_ = false;
  double wait_seconds_ = 0;
  supply_trainer_sums sums_;
};

} // namespace boragedoor::bench
