#include <catch2/catch.hpp>

#include "crowd_fixture.h"

namespace boragedoor::platform {

namespace {

/// Half of these descriptors are for files.
constexpr std::size_t few_descriptors = 2 * reserved_descriptors;
constexpr std::size_t idle_count = 300;

/// Opens connections on one address that send nothing, and checks what is left for others.
void check_idle(net::address crowd_instance::*address) {
  crowd_fixture it;
  crowd_instance& at = it.start("first", {.descriptors = few_descriptors});
  it.add_callers(at.*address, idle_count, {}, true);
  it.let_crowd_act();
  it.check_holds(at);
}

} // namespace

// Guards against heads near their limit that never end.
TEST_CASE("heads stop just before their end", "[unfinished_heads]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  constexpr std::size_t count = 2000;
  std::string head = request_head("GET", "/plans/7", "head");
  head.resize(head.size() - 2);
  head += "Filler: " + std::string(max_header_bytes - head.size() - 16, 'x');
  it.add_callers(at.callers, count, head, true);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against callers that take all descriptors, so that endpoints and store are out of reach.
TEST_CASE("callers open more connections than the machine has", "[idle_callers]") {
  check_idle(&crowd_instance::callers);
}

TEST_CASE("look-ups open more connections than the machine has", "[idle_lookups]") {
  check_idle(&crowd_instance::lookup);
}

TEST_CASE("health checks open more connections than the machine has", "[idle_health_checks]") {
  check_idle(&crowd_instance::readiness);
}

} // namespace boragedoor::platform
