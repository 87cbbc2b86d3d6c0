#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/member.h"

namespace boragedoor::control {

/// A unit of work that one instance at a time controls, for example "dc/north", "trainer/t1" or
/// "usage/3".
struct shard {
  std::string name;
  /// Data centre whose instances rank first; empty if no data centre is preferred.
  std::string data_centre;

  friend bool operator==(const shard&, const shard&) = default;
};

/// The rank of one instance among the candidates for a shard.
struct shard_rank {
  std::string shard;
  /// 0 for the preferred holder; empty if the instance is not a candidate.
  std::optional<std::size_t> rank;

  friend bool operator==(const shard_rank&, const shard_rank&) = default;
};

/// Returns the ids of all candidates for a shard, the preferred holder first. Only live members are
/// candidates. The result does not depend on the order of `members`.
std::vector<std::string> rank_candidates(const shard& ranked_shard,
                                         std::span<const member> members);

/// Returns the rank of `instance` for each shard, in the order of `shards`.
std::vector<shard_rank> rank_shards(std::string_view instance, std::span<const shard> shards,
                                    std::span<const member> members);

} // namespace boragedoor::control
