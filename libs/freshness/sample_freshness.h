#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::freshness {

struct sample_freshness_options {
  /// Publishing interval assumed until two versions of a trainer are known: the target's.
  duration initial_interval = seconds(120);
  /// Weight of the newest interval in the running mean.
  double interval_weight = 0.3;
  /// Time from a sample's end until its batch is delivered.
  duration delivery_delay = seconds(2);
  /// A publication is reckoned with when it is expected at least this part of an interval before
  /// the delivery. Absorbs the scatter of lengths and intervals, so that few samples restart early.
  double certainty = 0.25;
};

/// A running sample and what is expected of it.
struct running_sample {
  std::string_view trainer;
  /// Oldest weight version that took part. A resumed sample keeps it, because its text does.
  std::uint64_t oldest_version = 0;
  /// Time until it ends where it runs, and after a move to another engine with the text so far.
  duration remaining{};
  duration remaining_elsewhere{};
  /// Time that a new start needs until the end.
  duration whole{};
};

enum class sample_decision {
  /// Runs on.
  keep,
  /// Another engine ends it early enough with the text so far.
  resume,
  /// Only a new start on fresher weights ends within the bound.
  restart,
};

/// The versions a sample may use, so that it is within its trainer's staleness bound at delivery.
/// Several trainers share the engines, each with its own model, bound and publishing interval.
class sample_freshness {
public:
  /// Fails with `invalid_argument` on times that are not positive or weights outside 0..1.
  static result<sample_freshness> create(const sample_freshness_options& options);

  /// `bound` counts versions that a delivered sample may be behind.
  void put_trainer(std::string_view trainer, std::uint64_t bound);
  /// Takes a published version. Older versions and unknown trainers are ignored.
  void announce(std::string_view trainer, std::uint64_t version, time_point now);

  /// Version that a sample which starts now and takes `expected` until its delivery must start on
  /// at least; the lowest that does, so that most engines qualify. Never above the newest version.
  [[nodiscard]] std::uint64_t minimum_version(std::string_view trainer, duration expected,
                                              time_point now) const;
  [[nodiscard]] sample_decision check(const running_sample& it, time_point now) const;
  /// Newest version expected at `at`; publications that are overdue are expected from now on.
  [[nodiscard]] std::uint64_t version_at(std::string_view trainer, time_point at,
                                         time_point now) const;
  /// Whether the sample is beyond its bound already.
  [[nodiscard]] bool exceeded(std::string_view trainer, std::uint64_t oldest_version) const;

private:
  struct trainer_state {
    std::uint64_t bound = 0;
    std::uint64_t newest = 0;
    time_point published{};
    double interval = 0;
    int intervals = 0;
  };
  explicit sample_freshness(const sample_freshness_options& options) : options_(options) {}
  [[nodiscard]] static std::uint64_t expected_version(const trainer_state& it, time_point at,
                                                      time_point now, double shift);
  [[nodiscard]] bool fits(const trainer_state& it, std::uint64_t version, duration remaining,
                          time_point now) const;

  sample_freshness_options options_;
  std::map<std::string, trainer_state, std::less<>> trainers_;
};

} // namespace boragedoor::freshness
