#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/cas_write.h"
#include "base/random.h"

namespace boragedoor::testing {

/// Draws a number below `n`.
inline std::uint64_t pick(random_engine& random, std::uint64_t n) {
  return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random);
}

/// Faults injected and schedules run, printed at the end of a property.
struct fault_counts {
  std::uint64_t schedules = 0;
  std::uint64_t steps = 0;
  std::map<std::string, std::uint64_t> faults;

  void count(const std::string& name, std::uint64_t n = 1) { faults[name] += n; }
  void print(const std::string& title) const;
};

using store_result = std::variant<store_write_result, store_read_result>;

/// A key-value store in memory whose calls are carried out in any order. Answers get lost before
/// or after the call took effect, and lost writes may take effect much later.
class fault_store {
public:
  struct cell {
    std::string value;
    std::uint64_t version = 0;
  };

  fault_store(random_engine& random, fault_counts& counts) : random_(random), counts_(counts) {}

  void submit(std::size_t client, store_call call) { calls_.push_back({client, std::move(call)}); }
  /// Carries out one random outstanding call. `faulty` allows faults.
  void step(bool faulty);
  /// The next result for a client, if there is one.
  bool take(std::size_t client, store_result& to);

  /// Is told when a client's deletion takes effect, or its read finds nothing.
  std::function<void(std::size_t client, const std::string& key)> on_gone;

  [[nodiscard]] bool idle() const { return calls_.empty(); }
  [[nodiscard]] const std::map<std::string, cell>& cells() const { return cells_; }

private:
  struct submitted {
    std::size_t client;
    store_call call;
  };

  store_result apply(const submitted& it);
  static store_result lost(const store_call& call);

  random_engine& random_;
  fault_counts& counts_;
  std::vector<submitted> calls_;
  /// Writes that were answered as unknown and may still take effect.
  std::vector<submitted> late_;
  std::map<std::size_t, std::deque<store_result>> results_;
  std::map<std::string, cell> cells_;
  std::uint64_t revision_ = 0;
};

} // namespace boragedoor::testing
