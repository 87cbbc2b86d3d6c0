#include "dispatch/stream_origins.h"

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {
constexpr time_point start{seconds(100)};
} // namespace

TEST_CASE("the software that began a stream is remembered") {
  stream_origins origins;
  CHECK(origins.add({"a1", "s/v1"}, start));
  CHECK(origins.add({"a2", "s/v2"}, start + seconds(1)));
  CHECK(origins.find("a1") == "s/v1");
  CHECK_FALSE(origins.find("a3"));

  SECTION("and does not change when the attempt is recorded again") {
    CHECK(origins.add({"a1", "s/v2"}, start));
    CHECK(origins.find("a1") == "s/v1");
    CHECK(origins.unstored(10).size() == 2);
  }
  SECTION("a request without an id is not recorded") {
    CHECK(origins.add({"", "s/v1"}, start));
    CHECK(origins.size() == 2);
    CHECK_FALSE(origins.find(""));
  }
  SECTION("records wait for the store in their order until they are in it") {
    REQUIRE(origins.unstored(1).size() == 1);
    CHECK(origins.unstored(1)[0].attempt == "a1");
    origins.mark_stored(1);
    CHECK(origins.unstored(10)[0].attempt == "a2");
    CHECK(origins.find("a1") == "s/v1");
  }
  SECTION("records are forgotten when no caller takes the stream up any more") {
    origins.expire(start + seconds(60));
    CHECK_FALSE(origins.find("a1"));
    CHECK(origins.find("a2") == "s/v2");
  }
  SECTION("the number of records that wait for the store is bounded, and all are known here") {
    int refused = 0;
    for (int n = 0; n < 5000; ++n) {
      refused += origins.add({"b" + std::to_string(n), "s/v1"}, start + seconds(2)) ? 0 : 1;
    }
    CHECK(refused == 5002 - 4096);
    CHECK(origins.unstored(10000).size() == 4096);
    CHECK(origins.find("b4999") == "s/v1");
  }
}

} // namespace boragedoor::dispatch
