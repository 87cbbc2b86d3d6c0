#include "dispatch/stream_origins.h"

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};

stream_origin origin(std::string attempt, std::string software, std::uint64_t revision = 1) {
  return {.attempt = std::move(attempt),
          .software = std::move(software),
          .process = {"e-1", 5},
          .key = "endpoints/e-1",
          .revision = revision};
}

} // namespace

TEST_CASE("the software that began a stream is remembered once it is certain") {
  stream_origins origins;
  CHECK(origins.add(origin("a1", "s/v1"), start));
  CHECK(origins.add(origin("a2", "s/v2"), start + seconds(1)));
  CHECK(origins.size() == 2);

  SECTION("not before its record is stored") {
    CHECK_FALSE(origins.find("a1"));
    origins.mark_stored(origins.unstored(1));
    CHECK(origins.find("a1") == "s/v1");
    CHECK_FALSE(origins.find("a2"));
    CHECK_FALSE(origins.find("a3"));
  }
  SECTION("and does not change when the attempt is recorded again") {
    CHECK(origins.add(origin("a1", "s/v2"), start));
    CHECK(origins.unstored(10).size() == 2);
    origins.mark_stored(origins.unstored(10));
    CHECK(origins.find("a1") == "s/v1");
  }
  SECTION("a request without an id is not recorded") {
    CHECK(origins.add(origin("", "s/v1"), start));
    CHECK(origins.size() == 2);
    CHECK_FALSE(origins.find(""));
  }
  SECTION("records wait for the store in their order until they are in it") {
    REQUIRE(origins.unstored(1).size() == 1);
    CHECK(origins.unstored(1)[0].attempt == "a1");
    origins.mark_stored(origins.unstored(1));
    CHECK(origins.unstored(10)[0].attempt == "a2");
  }
  SECTION("a record whose endpoint was replaced is forgotten, also one that comes back") {
    const auto sent = origins.unstored(10);
    origins.drop("a1");
    CHECK(origins.unstored(10).size() == 1);
    origins.mark_stored(sent);
    CHECK_FALSE(origins.find("a1"));
    CHECK(origins.find("a2") == "s/v2");
  }
  SECTION("a record is stored under the revision of the present entry") {
    origins.set_revision("a2", 7);
    origins.set_revision("a3", 7);
    CHECK(origins.unstored(10)[0].revision == 1);
    CHECK(origins.unstored(10)[1].revision == 7);
  }
  SECTION("records are forgotten when no caller takes the stream up any more") {
    origins.mark_stored(origins.unstored(10));
    origins.expire(start + seconds(60));
    CHECK_FALSE(origins.find("a1"));
    CHECK(origins.find("a2") == "s/v2");
  }
  SECTION("the number of records that wait for the store is bounded") {
    int refused = 0;
    for (int n = 0; n < 5000; ++n) {
      refused += origins.add(origin("b" + std::to_string(n), "s/v1"), start + seconds(2)) ? 0 : 1;
    }
    CHECK(refused == 5002 - 4096);
    CHECK(origins.unstored(10000).size() == 4096);
    CHECK(origins.size() == 4096);
  }
}

} // namespace boragedoor::dispatch
