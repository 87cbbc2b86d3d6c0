#include "events/causal_order.h"

#include <queue>
#include <utility>

namespace boragedoor::events {

namespace {

class causal_sorter {
public:
  causal_sorter(std::span<const std::size_t> process_of,
                std::span<const std::optional<std::size_t>> causes, std::span<const duration> at)
      : process_of_(process_of), causes_(causes), at_(at), placed_(at.size(), false),
        effects_(at.size()) {
    for (std::size_t n = 0; n < at.size(); ++n) {
      if (causes[n]) {
        effects_[*causes[n]].push_back(n);
      }
      if (n == 0 || process_of[n - 1] != process_of[n]) {
        heads_.push_back(n);
      }
    }
  }

  causal_sequence sort() {
    for (const auto head : heads_) {
      offer(head);
    }
    while (order_.sequence.size() < at_.size()) {
      if (ready_.empty()) {
        ++order_.ignored_causes;
        const auto n = head_in_cycle();
        ready_.emplace(at_[n], n);
      }
      place_next();
    }
    return std::move(order_);
  }

private:
  using timed = std::pair<duration, std::size_t>;

  void offer(std::size_t n) {
    if (!causes_[n] || placed_[*causes_[n]]) {
      ready_.emplace(at_[n], n);
    }
  }

  void place_next() {
    const std::size_t n = ready_.top().second;
    ready_.pop();
    placed_[n] = true;
    order_.sequence.push_back(n);
    // Effects first: the next event of the process is no head yet, so it is offered only once.
    for (const auto effect : effects_[n]) {
      if (!placed_[effect] && heads_[process_of_[effect]] == effect) {
        ready_.emplace(at_[effect], effect);
      }
    }
    const std::size_t next = n + 1;
    heads_[process_of_[n]] = next;
    if (next < at_.size() && process_of_[next] == process_of_[n]) {
      offer(next);
    }
  }

  /// Follows what the heads wait for until one comes up again. Called when no head is ready, so
  /// each head waits for a cause in a process that has a head itself.
  [[nodiscard]] std::size_t head_in_cycle() const {
    std::size_t n = 0;
    while (placed_[n]) {
      ++n;
    }
    n = heads_[process_of_[n]];
    std::vector<bool> seen(at_.size(), false);
    while (!seen[n]) {
      seen[n] = true;
      n = heads_[process_of_[*causes_[n]]];
    }
    return n;
  }

  std::span<const std::size_t> process_of_;
  std::span<const std::optional<std::size_t>> causes_;
  std::span<const duration> at_;
  std::vector<bool> placed_;
  std::vector<std::vector<std::size_t>> effects_;
  /// The first event of each process that is not placed; behind its last event when all are.
  std::vector<std::size_t> heads_;
  /// Those heads whose cause is placed.
  std::priority_queue<timed, std::vector<timed>, std::greater<>> ready_;
  causal_sequence order_;
};

} // namespace

causal_sequence causal_order(std::span<const std::size_t> process_of,
                             std::span<const std::optional<std::size_t>> causes,
                             std::span<const duration> at) {
  return causal_sorter(process_of, causes, at).sort();
}

} // namespace boragedoor::events
