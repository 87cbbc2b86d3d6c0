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
  const member* who = nullptr;
};

/// The same for both ends, so that most choices are mutual and few links exceed the chosen number.
std::uint64_t pair_weight(std::string_view a, std::string_view b) {
  return rendezvous_weight(std::min(a, b), std::max(a, b));
}

/// The next instance on a ring over the data centre. Linking to it keeps the data centre connected,
/// which choices by weight alone do not guarantee.
const member* ring_successor(const member& self, std::span<const candidate> others) {
  const auto position = [](const member& it) {
    return std::pair(hash64(it.id), std::string_view(it.id));
  };
  const auto own = position(self);
  const member* first = nullptr;
  const member* next = nullptr;
  for (const candidate& it : others) {
    if (it.who->data_centre != self.data_centre) {
      continue;
    }
    const auto at = position(*it.who);
    if (first == nullptr || at < position(*first)) {
      first = it.who;
    }
    if (at > own && (next == nullptr || at < position(*next))) {
      next = it.who;
    }
  }
  return next != nullptr ? next : first;
}

std::vector<candidate> ranked_others(const member& self, std::span<const member> members) {
  std::vector<candidate> others;
  for (const member& it : members) {
    if (it.id != self.id && it.state != member_state::leaving) {
      others.push_back({pair_weight(self.id, it.id), &it});
    }
  }
  std::ranges::sort(others, [](const candidate& a, const candidate& b) {
    return std::tie(b.weight, a.who->id) < std::tie(a.weight, b.who->id);
  });
  return others;
}

/// Collects the best candidates that satisfy `matches` until `n` more are chosen.
void choose(std::span<const candidate> others, std::size_t n,
            const std::function<bool(const member&)>& matches, std::set<std::string>& chosen) {
  for (const candidate& it : others) {
    if (n == 0) {
      return;
    }
    if (matches(*it.who) && chosen.insert(it.who->id).second) {
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
  const std::vector<candidate> others = ranked_others(*own, members);
  std::set<std::string> chosen;
  std::size_t in_data_centre = options.own_data_centre;
  if (const member* const next = ring_successor(*own, others);
      next != nullptr && in_data_centre > 0) {
    chosen.insert(next->id);
    --in_data_centre;
  }
  choose(
      others, in_data_centre, [&](const member& it) { return it.data_centre == own->data_centre; },
      chosen);
  choose(
      others, options.own_region,
      [&](const member& it) {
        return it.region == own->region && it.data_centre != own->data_centre;
      },
      chosen);
  choose(
      others, options.other_regions, [&](const member& it) { return it.region != own->region; },
      chosen);
  if (chosen.size() < options.total) {
    choose(
        others, options.total - chosen.size(), [](const member&) { return true; }, chosen);
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
  std::set<std::string_view> left;
  for (const member& it : members) {
    if (graph.contains(it.id) &&
        (removed_data_centre.empty() || it.data_centre != removed_data_centre)) {
      left.insert(it.id);
    }
  }
  if (left.empty()) {
    return true;
  }
  std::vector<std::string_view> reached{*left.begin()};
  left.erase(left.begin());
  while (!reached.empty()) {
    const auto it = graph.find(reached.back());
    reached.pop_back();
    for (const std::string& other : it->second) {
      if (left.erase(other) != 0) {
        reached.emplace_back(other);
      }
    }
  }
  return left.empty();
}

} // namespace boragedoor::replication
