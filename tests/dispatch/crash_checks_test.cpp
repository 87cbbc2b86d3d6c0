#include "dispatch/crash_checks.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};
/// Start of the endpoint's process, in Unix milliseconds.
constexpr std::int64_t process_start = 1'700'000'000'000;
const net::address place{"10.0.0.1", 8000};
const routing::endpoint_process process{"e-1", process_start};
/// Process that is at the same address after the first one has ended.
const registered_process same_place{{"e-2", process_start + 9000}, place};
const registered_process unchanged{process, place};

broken_attempt attempt(const std::string& request = "a1") {
  return {process, request, "fingerprint"};
}

wall_time wall_after(milliseconds since_process_start) {
  return wall_time(milliseconds(process_start) + since_process_start);
}

std::vector<std::string> requests_of(const std::vector<broken_attempt>& list) {
  std::vector<std::string> ids;
  std::ranges::transform(list, std::back_inserter(ids), &broken_attempt::request);
  return ids;
}

using ids = std::vector<std::string>;

} // namespace

// Guards against crashes that do not count because they were checked while the instance could not
// connect to any endpoint, or when the endpoint was back already.
TEST_CASE("a process that ended under an attempt is found") {
  crash_checks it;
  it.add(attempt(), place, start);
  REQUIRE(it.take_due(start).size() == 1);
  CHECK(it.take_due(start).empty());

  SECTION("at once if it takes no connection") {
    CHECK(requests_of(it.note_checked(process, connection_check::unconnected, start,
                                      wall_after(seconds(5)))) == ids{"a1"});
    CHECK(it.is_empty());
  }

  SECTION("and counts until the opposite is known if this instance cannot find out") {
    CHECK(it.unconfirmed("fingerprint").empty());
    CHECK(
        it.note_checked(process, connection_check::unknown, start, wall_after(seconds(5))).empty());
    CHECK(it.unconfirmed("fingerprint") == std::set{process});
    CHECK(it.unconfirmed("another").empty());
    CHECK(it.take_due(start + milliseconds(100)).empty());

    SECTION("which the next connection tells") {
      const time_point later = start + milliseconds(250);
      REQUIRE(it.take_due(later).size() == 1);
      SECTION("that is refused") {
        CHECK(requests_of(it.note_checked(process, connection_check::unconnected, later,
                                          wall_after(seconds(5)))) == ids{"a1"});
      }
      SECTION("that is taken") {
        CHECK(it.note_checked(process, connection_check::connected, later, wall_after(seconds(5)))
                  .empty());
        CHECK(it.unconfirmed("fingerprint").empty());
      }
    }
    SECTION("which the registry tells") {
      CHECK(it.note_registry(std::vector{unchanged}).empty());
      SECTION("by another process at its address") {
        CHECK(requests_of(it.note_registry(std::vector{unchanged, same_place})) == ids{"a1"});
      }
      SECTION("by another process under its id") {
        const registered_process same_id{{"e-1", process_start + 9000}, {"10.0.0.2", 8000}};
        CHECK(requests_of(it.note_registry(std::vector{same_id})) == ids{"a1"});
      }
      SECTION("by its entry that is gone") {
        CHECK(requests_of(it.note_registry({})) == ids{"a1"});
      }
    }
    SECTION("or the request completes elsewhere") {
      it.forget("fingerprint");
      CHECK(it.is_empty());
    }
    SECTION("or ten minutes have passed, and it is reported") {
      CHECK(it.expire(start + std::chrono::minutes(9)).empty());
      CHECK(requests_of(it.expire(start + std::chrono::minutes(11))) == ids{"a1"});
      CHECK(it.is_empty());
    }
  }

  SECTION("if the next one took the connection") {
    CHECK(it.note_checked(process, connection_check::connected, start, wall_after(seconds(10)))
              .empty());
    CHECK(it.unconfirmed("fingerprint").empty());
    CHECK(it.note_registry(std::vector{unchanged}).empty());
    SECTION("as the registry tells later") {
      CHECK(requests_of(it.note_registry(std::vector{same_place})) == ids{"a1"});
    }
    SECTION("but not if that one started after the connection") {
      const registered_process younger{{"e-2", process_start + 11'000}, place};
      CHECK(it.note_registry(std::vector{younger}).empty());
    }
    SECTION("nor if the entry is gone and no other process is known") {
      CHECK(it.note_registry({}).empty());
    }
    SECTION("within the time that the registry takes") {
      CHECK(it.expire(start + seconds(6)).empty());
      CHECK_FALSE(it.is_empty());
      CHECK(it.expire(start + milliseconds(6001)).empty());
      CHECK(it.is_empty());
    }
  }

  SECTION("also if another attempt breaks off while it is connected to") {
    it.add(attempt("a2"), place, start + milliseconds(1));
    CHECK(it.take_due(start + milliseconds(1)).empty());
    SECTION("and it takes no connection") {
      CHECK(requests_of(it.note_checked(process, connection_check::unconnected,
                                        start + milliseconds(2), wall_after(seconds(5)))) ==
            ids{"a1", "a2"});
    }
    SECTION("and it took the connection before that") {
      CHECK(it.note_checked(process, connection_check::connected, start + milliseconds(2),
                            wall_after(seconds(5)))
                .empty());
      REQUIRE(it.take_due(start + milliseconds(2)).size() == 1);
      CHECK(requests_of(it.note_checked(process, connection_check::unconnected,
                                        start + milliseconds(3), wall_after(seconds(5)))) ==
            ids{"a2"});
    }
  }
}

// Guards against memory that grows with the number of requests that break off.
TEST_CASE("the oldest open checks are given up beyond the limit, and reported") {
  crash_checks it({.capacity = 3});
  for (int n = 1; n <= 5; ++n) {
    it.add(attempt("a" + std::to_string(n)), place, start + milliseconds(n));
  }
  CHECK(requests_of(it.expire(start + milliseconds(6))) == ids{"a1", "a2"});
  CHECK(it.expire(start + milliseconds(6)).empty());
}

} // namespace boragedoor::dispatch
