#include "events/clock_offsets.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <queue>
#include <utility>

namespace boragedoor::events {

namespace {

using process_pair = std::pair<std::size_t, std::size_t>;

/// An estimate of what to add to `to`'s clock relative to `from`'s.
struct edge {
  /// Width of the range that the pairs leave open; the greatest value for one-sided ranges.
  duration uncertainty{0};
  std::size_t from = 0;
  std::size_t to = 0;
  duration shift{0};

  friend bool operator<(const edge& left, const edge& right) {
    // A priority queue returns the greatest element; the smallest uncertainty shall come first.
    return std::tie(left.uncertainty, left.from, left.to) >
           std::tie(right.uncertainty, right.from, right.to);
  }
};

/// Greatest lead of a cause's clock over its effect's clock for each ordered pair of processes.
std::map<process_pair, duration> greatest_leads(std::span<const cause_pair> pairs) {
  std::map<process_pair, duration> leads;
  for (const auto& it : pairs) {
    if (it.from == it.to) {
      continue;
    }
    const duration lead = it.cause_at - it.effect_at;
    const auto [found, is_new] = leads.try_emplace({it.from, it.to}, lead);
    found->second = std::max(found->second, lead);
  }
  return leads;
}

std::vector<std::vector<edge>> make_edges(std::size_t n, std::span<const cause_pair> pairs) {
  const auto leads = greatest_leads(pairs);
  std::vector<std::vector<edge>> edges(n);
  for (const auto& [between, lead] : leads) {
    const auto [from, to] = between;
    const auto back = leads.find({to, from});
    duration shift = lead;
    duration uncertainty = duration::max();
    if (back != leads.end()) {
      shift = (lead - back->second) / 2;
      // Negative when the clocks drifted against each other; such a range is as good as exact.
      uncertainty = std::max(duration::zero(), -(lead + back->second));
    }
    edges[from].push_back({uncertainty, from, to, shift});
    edges[to].push_back({uncertainty, to, from, -shift});
  }
  return edges;
}

/// Spreads offsets from one process along the least uncertain edges.
void spread(std::size_t start, const std::vector<std::vector<edge>>& edges,
            std::vector<bool>& reached, std::vector<clock_offset>& offsets) {
  std::priority_queue<edge> open;
  const auto reach = [&](std::size_t process, duration offset) {
    reached[process] = true;
    offsets[process] = {offset, !edges[process].empty()};
    for (const auto& it : edges[process]) {
      open.push(it);
    }
  };
  reach(start, duration::zero());
  while (!open.empty()) {
    const edge it = open.top();
    open.pop();
    if (!reached[it.to]) {
      reach(it.to, offsets[it.from].offset + it.shift);
    }
  }
}

} // namespace

std::vector<clock_offset> estimate_offsets(std::span<const std::size_t> weights,
                                           std::span<const cause_pair> pairs) {
  const auto edges = make_edges(weights.size(), pairs);
  std::vector<std::size_t> order(weights.size());
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::stable_sort(order, std::greater(), [&](std::size_t it) { return weights[it]; });
  std::vector<bool> reached(weights.size(), false);
  std::vector<clock_offset> offsets(weights.size());
  for (const auto process : order) {
    if (!reached[process]) {
      spread(process, edges, reached, offsets);
    }
  }
  return offsets;
}

} // namespace boragedoor::events
