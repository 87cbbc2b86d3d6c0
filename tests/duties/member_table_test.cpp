#include "duties/member_table.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace boragedoor::duties {

namespace {

constexpr time_point start{seconds(100)};

member make_member(std::string instance, std::uint64_t created, std::string data_centre = "dc-1") {
  member it;
  it.id = fmt::format("{}/boot", instance);
  it.address = fmt::format("{}:80", instance);
  it.relay = fmt::format("{}:81", instance);
  it.instance = std::move(instance);
  it.data_centre = std::move(data_centre);
  it.region = it.address;
  it.created = created;
  return it;
}

} // namespace

TEST_CASE("decoding a member document restores all fields but the store revision") {
  member before = make_member("a", 7);
  before.draining = true;
  before.processor = 0.12;
  before.started_ms = 1'800'000'000'000;
  auto after = member_from_document(to_document(before));
  REQUIRE(after);
  CHECK(after.value().created == 0);
  after.value().created = 7;
  CHECK(after.value() == before);
  CHECK_FALSE(member_from_document("x"));
  CHECK(instance_of("front-1/ab12") == "front-1");
}

TEST_CASE("the member table selects members for duties and work") {
  member_table table;
  CHECK(table.oldest() == nullptr);
  CHECK(table.assigned_member("job") == nullptr);
  table.put("k/a", make_member("a", 20));
  table.put("k/b", make_member("b", 10));
  table.put("k/c", make_member("c", 30));

  SECTION("the oldest member performs the duties until it drains or is removed") {
    CHECK(table.oldest()->instance == "b");
    member draining = make_member("b", 10);
    draining.draining = true;
    table.put("k/b", draining);
    CHECK(table.oldest()->instance == "a");
    CHECK(table.is_live("b/boot"));
    table.remove("k/a", start);
    CHECK(table.oldest()->instance == "c");
  }

  SECTION("the assigned member does not depend on the order of insertion") {
    member_table other;
    other.put("k/c", make_member("c", 30));
    other.put("k/a", make_member("a", 20));
    other.put("k/b", make_member("b", 10));
    for (const char* job : {"j1", "j2", "j3", "j4"}) {
      CHECK(table.assigned_member(job)->id == other.assigned_member(job)->id);
    }
  }

  SECTION("work is assigned to the members with the most processor time") {
    // Models a fleet in which 8 of 62 machines have half a core and the others an eighth. One step
    // of a trainer needs about that much.
    for (int n = 0; n < 4; ++n) {
      member strong = make_member(fmt::format("strong-{}", n), 40);
      strong.processor = 4;
      table.put(fmt::format("s{}", n), strong);
    }
    for (int n = 0; n < 50; ++n) {
      CHECK(table.assigned_member(fmt::format("job-{}", n))->processor == 4);
    }
  }

  SECTION("the oldest member of a data centre with enough members watches the store for all") {
    // Models 16 instances per data centre that watch the same keys.
    for (std::size_t n = 1; n < member_table::min_shared_watch_members; ++n) {
      table.put(fmt::format("k{}", n), make_member(fmt::format("m{}", n), 20 - n, "dc-9"));
    }
    table.put("far", make_member("far", 1, "dc-2"));
    CHECK(table.watcher_of("dc-9") == nullptr);
    table.put("k9", make_member("m9", 30, "dc-9"));
    REQUIRE(table.watcher_of("dc-9") != nullptr);
    CHECK(table.watcher_of("dc-9")->instance == "m4");
    CHECK(table.watcher_of("dc-2") == nullptr);

    // A draining watcher is replaced before it stops. If too few members remain, each watches for
    // itself.
    member drains = make_member("m4", 16, "dc-9");
    drains.draining = true;
    table.put("k4", drains);
    CHECK(table.watcher_of("dc-9") == nullptr);
    table.put("k10", make_member("m10", 31, "dc-9"));
    REQUIRE(table.watcher_of("dc-9") != nullptr);
    CHECK(table.watcher_of("dc-9")->instance == "m3");
  }

  SECTION("the oldest of the watchers watches the store for the other data centres") {
    // Models 4 data centres with 16 instances each, whose watchers would each cost the store a call
    // for every change.
    CHECK(table.first_watcher() == nullptr);
    for (std::size_t n = 0; n < member_table::min_shared_watch_members; ++n) {
      table.put(fmt::format("k{}", n), make_member(fmt::format("m{}", n), 20 + n, "dc-8"));
      table.put(fmt::format("l{}", n), make_member(fmt::format("n{}", n), 10 + n, "dc-9"));
    }
    table.put("far", make_member("far", 1, "dc-2"));
    REQUIRE(table.first_watcher() != nullptr);
    CHECK(table.first_watcher()->instance == "n0");

    // Without its first member, dc-9 has too few members to share a watch.
    table.remove("l0", start);
    REQUIRE(table.first_watcher() != nullptr);
    CHECK(table.first_watcher()->instance == "m0");
  }

  SECTION("work is taken over only from members that remain missing") {
    // Leases expire during a store outage; their holders register again soon after it.
    CHECK_FALSE(table.is_gone("a/boot", start, start + seconds(60)));
    table.remove("k/a", start);
    CHECK_FALSE(table.is_gone("a/boot", start, start + seconds(1)));
    CHECK(table.is_gone("a/boot", start, start + seconds(2)));
    table.put("k/a", make_member("a", 40));
    CHECK_FALSE(table.is_gone("a/boot", start, start + seconds(60)));
  }

  SECTION("a process tells a start beside others from a start into a running deployment") {
    // Guards against hundreds of processes that start together and each watch the store.
    member first = make_member("m10", 10, "dc-9");
    first.started_ms = 10'000;
    table.put("k10", first);
    CHECK_FALSE(table.has_older_member(10'400, seconds(2)));
    CHECK(table.has_older_member(12'000, seconds(2)));
    SECTION("and a member whose start is unknown says nothing") {
      table.remove("k10", start);
      CHECK_FALSE(table.has_older_member(60'000, seconds(2)));
    }
  }

  SECTION("a member that was never seen is gone once the watch has run for the takeover delay") {
    CHECK_FALSE(table.is_gone("z/old", start, start + seconds(1)));
    CHECK(table.is_gone("z/old", start, start + seconds(2)));
  }
}

TEST_CASE("callers get the addresses of their data centre if there are enough") {
  std::vector<member> members = {make_member("a", 1, "dc-1"), make_member("b", 2, "dc-1"),
                                 make_member("c", 3, "dc-2"), make_member("d", 4, "dc-3")};
  using addresses = std::vector<std::string>;
  CHECK(addresses_for(members, "dc-1", 64) == addresses{"a:80", "b:80"});
  CHECK(addresses_for(members, "dc-2", 64) == addresses{"a:80", "b:80", "c:80", "d:80"});
  CHECK(addresses_for(members, "else", 2).size() == 2);
  members[1].draining = true;
  CHECK(addresses_for(members, "dc-1", 64) == addresses{"a:80", "c:80", "d:80"});
  // A restarted process has two entries until the old lease expires.
  members.push_back(make_member("a", 9, "dc-1"));
  CHECK(addresses_for(members, "dc-1", 64) == addresses{"a:80", "c:80", "d:80"});
}

} // namespace boragedoor::duties
