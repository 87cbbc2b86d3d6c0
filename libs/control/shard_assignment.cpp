#include "control/shard_assignment.h"

#include <algorithm>
#include <tuple>

namespace boragedoor::control {

namespace {

struct candidate {
  bool is_elsewhere = false;
  std::uint64_t weight = 0;
  std::string_view id;

  /// True if this candidate ranks before `other`. The id decides between equal weights, so that all
  /// instances agree.
  [[nodiscard]] bool precedes(const candidate& other) const {
    return std::tie(is_elsewhere, other.weight, id) <
           std::tie(other.is_elsewhere, weight, other.id);
  }
};

candidate describe(const shard& it, const member& who) {
  const bool is_elsewhere = !it.data_centre.empty() && who.data_centre != it.data_centre;
  return {is_elsewhere, rendezvous_weight(it.name, who.id), who.id};
}

} // namespace

std::vector<std::string> rank_candidates(const shard& it, std::span<const member> members) {
  std::vector<candidate> list;
  for (const member& who : members) {
    if (who.state == member_state::live) {
      list.push_back(describe(it, who));
    }
  }
  std::ranges::sort(list, [](const candidate& a, const candidate& b) { return a.precedes(b); });
  std::vector<std::string> ids;
  ids.reserve(list.size());
  for (const candidate& who : list) {
    ids.emplace_back(who.id);
  }
  return ids;
}

std::vector<shard_rank> rank_shards(std::string_view instance, std::span<const shard> shards,
                                    std::span<const member> members) {
  const auto self = std::ranges::find(members, instance, &member::id);
  const bool is_candidate = self != members.end() && self->state == member_state::live;
  std::vector<shard_rank> ranks;
  ranks.reserve(shards.size());
  for (const shard& it : shards) {
    shard_rank& place = ranks.emplace_back(shard_rank{it.name, std::nullopt});
    if (!is_candidate) {
      continue;
    }
    const candidate own = describe(it, *self);
    place.rank = static_cast<std::size_t>(std::ranges::count_if(members, [&](const member& who) {
      return who.state == member_state::live && describe(it, who).precedes(own);
    }));
  }
  return ranks;
}

} // namespace boragedoor::control
