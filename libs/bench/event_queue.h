#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace boragedoor::bench {

/// Event list in virtual time. Events of the same time run in the order in which they were added,
/// so a run depends on nothing but its seed.
class event_queue {
public:
  using action = std::function<void()>;

  void at(time_point when, action what);
  void after(duration delay, action what) { at(now_ + delay, std::move(what)); }
  /// Runs `what` every `period`, first after `offset`.
  void every(duration offset, duration period, action what);
  /// Runs all events up to `end`.
  void run_until(time_point end);

  [[nodiscard]] time_point now() const { return now_; }
  [[nodiscard]] std::uint64_t events() const { return next_order_; }

private:
  struct entry {
    time_point when;
    std::uint64_t order = 0;
    action what;
  };
  static bool later(const entry& left, const entry& right);

  time_point now_{};
  std::uint64_t next_order_ = 0;
  /// A heap whose front is the earliest entry.
  std::vector<entry> entries_;
};

} // namespace boragedoor::bench
