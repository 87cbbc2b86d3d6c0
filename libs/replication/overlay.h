#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/member.h"

namespace boragedoor::replication {

/// Links that one instance chooses.
struct overlay_options {
  std::size_t own_data_centre = 3;
  std::size_t own_region = 2;
  std::size_t other_regions = 1;
  /// Other choices fill missing places up to this number.
  std::size_t total = 6;
};

/// Ids of the neighbours of each instance, sorted.
using overlay_graph = std::map<std::string, std::vector<std::string>, std::less<>>;

/// Returns the ids that one instance chooses, sorted. Leaving members are not chosen.
std::vector<std::string> choose_links(std::string_view self, std::span<const member> members,
                                      const overlay_options& options = {});

/// Returns all links: an edge exists if either side chose it. The same list gives the same graph on
/// every instance.
overlay_graph build_overlay(std::span<const member> members, const overlay_options& options = {});

/// Returns the neighbours of one instance in that graph.
std::vector<std::string> overlay_neighbours(std::string_view self, std::span<const member> members,
                                            const overlay_options& options = {});

/// True if every instance reaches every other one without those of `removed_data_centre`.
bool is_connected(const overlay_graph& graph, std::span<const member> members,
                  std::string_view removed_data_centre = {});

} // namespace boragedoor::replication
