#include "replication/overlay.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>
#include <utility>

namespace boragedoor::replication {

namespace {

struct candidate {
  std::uint64_t weight = 0;
  const member* peer = nullptr;
};

/// Symmetric, so that most choices are mutual and few links exceed the number chosen.
std::uint64_t pair_weight(std::string_view a, std::string_view b) {
  return rendezvous_weight(std::min(a, b), std::max(a, b));
}

/// Returns the next instance on a hash ring of the data centre. Linking to it keeps the data centre
/// connected, which choices by weight alone do not guarantee.
const member* ring_successor(const member& self, std::span<const candidate> others) {
  const auto position = [](const member& it) {
    return std::pair(hash64(it.id), std::string_view(it.id));
  };
  const auto own = position(self);
  const member* first = nullptr;
  const member* next = nullptr;
  for (const candidate& it : others) {
    if (it.peer->data_centre != self.data_centre) {
      continue;
    }
    const auto at = position(*it.peer);
    if (first == nullptr || at < position(*first)) {
      first = it.peer;
    }
    if (at > own && (next == nullptr || at < position(*next))) {
      next = it.peer;
    }
  }
  return next != nullptr ? next : first;
}

std::vector<candidate> rank_peers(const member& self, std::span<const member> members) {
  std::vector<candidate> others;
  for (const member& it : members) {
    if (it.id != self.id && it.state != member_state::leaving) {
      others.push_back({pair_weight(self.id, it.id), &it});
    }
  }
  std::ranges::sort(others, [](const candidate& a, const candidate& b) {
    return std::tie(b.weight, a.peer->id) < std::tie(a.weight, b.peer->id);
  });
  return others;
}

/// Adds the best candidates that satisfy `matches` to `chosen`, up to `n` more.
void choose_best(std::span<const candidate> others, std::size_t n,
                 const std::function<bool(const member&)>& matches, std::set<std::string>& chosen) {
  for (const candidate& it : others) {
    if (n == 0) {
      return;
    }
    if (matches(*it.peer) && chosen.insert(it.peer->id).second) {
      --n;
    }
  }
}

} // namespace

std::vector<std::string> choose_links(std::string_view self, std::span<const member> members,
                                      const overlay_options& options) {
  const auto own = std::ranges::find(members, self, &member::id);
  if (own == members.end()) {
    return {};
  }
  const std::vector<candidate> others = rank_peers(*own, members);
  std::set<std::string> chosen;
  std::size_t remaining_links = options.own_data_centre_links;
  if (const member* const next = ring_successor(*own, others);
      next != nullptr && remaining_links > 0) {
    chosen.insert(next->id);
    --remaining_links;
  }
  choose_best(
      others, remaining_links, [&](const member& it) { return it.data_centre == own->data_centre; },
      chosen);
  choose_best(
      others, options.own_region_links,
      [&](const member& it) {
        return it.region == own->region && it.data_centre != own->data_centre;
      },
      chosen);
  choose_best(
      others, options.other_region_links,
      [&](const member& it) { return it.region != own->region; }, chosen);
  if (chosen.size() < options.total_links) {
    choose_best(
        others, options.total_links - chosen.size(), [](const member&) { return true; }, chosen);
  }
  return {chosen.begin(), chosen.end()};
}

overlay_graph build_overlay(std::span<const member> members, const overlay_options& options) {
  std::map<std::string, std::set<std::string>, std::less<>> links;
  for (const member& it : members) {
    if (it.state == member_state::leaving) {
      continue;
    }
    links[it.id];
    for (const std::string& other : choose_links(it.id, members, options)) {
      links[it.id].insert(other);
      links[other].insert(it.id);
    }
  }
  overlay_graph graph;
  for (const auto& [id, others] : links) {
    graph.emplace(id, std::vector<std::string>(others.begin(), others.end()));
  }
  return graph;
}

std::vector<std::string> overlay_neighbours(std::string_view self, std::span<const member> members,
                                            const overlay_options& options) {
  const overlay_graph graph = build_overlay(members, options);
  const auto it = graph.find(self);
  return it == graph.end() ? std::vector<std::string>{} : it->second;
}

bool is_connected(const overlay_graph& graph, std::span<const member> members,
                  std::string_view removed_data_centre) {
  std::set<std::string_view> unreached;
  for (const member& it : members) {
    if (graph.contains(it.id) &&
        (removed_data_centre.empty() || it.data_centre != removed_data_centre)) {
      unreached.insert(it.id);
    }
  }
  if (unreached.empty()) {
    return true;
  }
  std::vector<std::string_view> frontier{*unreached.begin()};
  unreached.erase(unreached.begin());
  while (!frontier.empty()) {
    const auto it = graph.find(frontier.back());
    frontier.pop_back();
    for (const std::string& other : it->second) {
      if (unreached.erase(other) != 0) {
        frontier.emplace_back(other);
      }
    }
  }
  return unreached.empty();
}

} // namespace boragedoor::replication
