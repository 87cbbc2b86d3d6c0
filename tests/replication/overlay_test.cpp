#include "replication/overlay.h"

#include <algorithm>
#include <iostream>

#include <catch2/catch.hpp>

#include "network.h"

namespace boragedoor::replication {

// Guards against a number of instances or the loss of a data centre that disconnects the overlay,
// and against links that only one side knows.
TEST_CASE("the overlay is connected for every size and without any single data centre") {
  std::size_t most_links = 0;
  int disconnected = 0;
  int asymmetric_links = 0;
  for (std::size_t n = 1; n <= 340; ++n) {
    const std::vector<member> fleet = make_fleet(n, 22, 6);
    const overlay_graph graph = build_overlay(fleet);
    disconnected += is_connected(graph, fleet) ? 0 : 1;
    for (std::size_t place = 0; place < std::min<std::size_t>(n, 22); ++place) {
      disconnected += is_connected(graph, fleet, "dc-" + std::to_string(place)) ? 0 : 1;
    }
    for (const auto& [id, others] : graph) {
      most_links = std::max(most_links, others.size());
      asymmetric_links += static_cast<int>(
          std::ranges::count_if(others, [&, self = std::string_view(id)](const std::string& other) {
            return !std::ranges::binary_search(graph.at(other), self);
          }));
    }
  }
  std::cout << "overlay: at most " << most_links << " links per instance\n";
  CHECK(disconnected == 0);
  CHECK(asymmetric_links == 0);
}

TEST_CASE("the overlay does not depend on the member order and excludes leaving members") {
  std::vector<member> fleet = make_fleet(40, 4, 2);
  const auto before = build_overlay(fleet);
  std::ranges::reverse(fleet);
  CHECK(build_overlay(fleet) == before);
  fleet.front().state = member_state::leaving;
  CHECK_FALSE(build_overlay(fleet).contains(fleet.front().id));
  CHECK(choose_links("instance-1", fleet).size() == 6);
}

// Guards against a connectivity check that always passes.
TEST_CASE("is_connected detects a disconnected graph") {
  const std::vector<member> fleet = make_fleet(4, 2, 1);
  const overlay_graph pairs = {{"instance-0", {"instance-2"}},
                               {"instance-1", {"instance-3"}},
                               {"instance-2", {"instance-0"}},
                               {"instance-3", {"instance-1"}}};
  CHECK_FALSE(is_connected(pairs, fleet));
  CHECK(is_connected(pairs, fleet, "dc-1"));
}

} // namespace boragedoor::replication
