#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::freshness {

struct start_limit_options {
  /// Groups that may be open at once at first, and the fewest.
  double initial_groups = 48;
  double fewest_groups = 2;
  double most_groups = 4'096;
  /// Time that a complete group may wait for its trainer. A trainer that takes a group every few
  /// seconds has several in reserve then.
  duration target_wait = seconds(20);
  /// Part by which each group that waited longer lowers the limit, and by which each second of an
  /// idle trainer raises it.
  double decrease = 0.01;
  double increase = 0.03;
};

/// Limits how many groups of a trainer are open (started and not taken yet), so that samples start
/// when the trainer will soon need them. A group that waits complete for its trainer only ages.
class start_limit {
public:
  /// Fails with `invalid_argument` on bounds out of order or parts outside 0..1.
  static result<start_limit> create(const start_limit_options& options);

  /// The trainer took a group that was complete since `complete`.
  void taken(std::string_view trainer, time_point complete, time_point now);
  /// The trainer had no group to take for `passed`.
  void idle(std::string_view trainer, duration passed);
  /// Groups of the trainer that may be open at once.
  [[nodiscard]] int limit(std::string_view trainer) const;

private:
  explicit start_limit(const start_limit_options& options) : options_(options) {}
  void scale(std::string_view trainer, double factor);

  start_limit_options options_;
  std::map<std::string, double, std::less<>> limits_;
};

} // namespace boragedoor::freshness
