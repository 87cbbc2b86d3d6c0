#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/member.h"

namespace boragedoor::replication {

/// Numbers of links that one instance chooses.
struct overlay_options {
  std::size_t own_data_centre_links = 3;
  std::size_t own_region_links = 2;
  std::size_t other_region_links = 1;
  /// If there are fewer links than this, the best remaining instances are added.
  std::size_t total_links = 6;
};

/// Maps each instance to the sorted ids of its neighbours.
using overlay_graph = std::map<std::string, std::vector<std::string>, std::less<>>;

/// Returns the sorted ids that one instance chooses to link to. Leaving members are not chosen.
std::vector<std::string> choose_links(std::string_view self, std::span<const member> members,
                                      const overlay_options& options = {});

/// Returns all links: two instances are linked if either chose the other. Every instance computes
/// the same graph from the same list.
overlay_graph build_overlay(std::span<const member> members, const overlay_options& options = {});

/// Returns the neighbours of one instance in that graph.
std::vector<std::string> overlay_neighbours(std::string_view self, std::span<const member> members,
                                            const overlay_options& options = {});

/// True if the graph is connected after the instances of `removed_data_centre` are removed.
bool is_connected(const overlay_graph& graph, std::span<const member> members,
                  std::string_view removed_data_centre = {});

} // namespace boragedoor::replication
