#include "control/shard_assignment.h"

#include <algorithm>
#include <tuple>

namespace boragedoor::control {

namespace {

struct candidate {
  bool is_in_other_data_centre = false;
  std::uint64_t weight = 0;
  std::string_view id;

  /// True if this candidate ranks before `other`. Equal weights are ordered by id, so that all
  /// instances compute the same ranks.
  [[nodiscard]] bool precedes(const candidate& other) const {
    return std::tie(is_in_other_data_centre, other.weight, id) <
           std::tie(other.is_in_other_data_centre, weight, other.id);
  }
};

candidate make_candidate(const shard& ranked_shard, const member& candidate_member) {
  const bool is_in_other_data_centre =
      !ranked_shard.data_centre.empty() && candidate_member.data_centre != ranked_shard.data_centre;
  return {is_in_other_data_centre, rendezvous_weight(ranked_shard.name, candidate_member.id),
          candidate_member.id};
}

} // namespace

std::vector<std::string> rank_candidates(const shard& ranked_shard,
                                         std::span<const member> members) {
  std::vector<candidate> list;
  for (const member& candidate_member : members) {
    if (candidate_member.state == member_state::live) {
      list.push_back(make_candidate(ranked_shard, candidate_member));
    }
  }
  std::ranges::sort(list, [](const candidate& a, const candidate& b) { return a.precedes(b); });
  std::vector<std::string> ids;
  ids.reserve(list.size());
  for (const candidate& ranked : list) {
    ids.emplace_back(ranked.id);
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
    shard_rank& entry = ranks.emplace_back(shard_rank{it.name, std::nullopt});
    if (!is_candidate) {
      continue;
    }
    const candidate own = make_candidate(it, *self);
    entry.rank = static_cast<std::size_t>(
        std::ranges::count_if(members, [&](const member& candidate_member) {
          return candidate_member.state == member_state::live &&
                 make_candidate(it, candidate_member).precedes(own);
        }));
  }
  return ranks;
}

} // namespace boragedoor::control
