#include "instance/store_path.h"

#include <catch2/catch.hpp>

namespace boragedoor::instance {

namespace {

constexpr time_point start{seconds(100)};
const net::address store{"10.0.0.1", 90};
const net::address first{"10.0.0.2", 91};
const net::address second{"10.0.0.3", 91};

} // namespace

TEST_CASE("the way to a store that does not serve this instance") {
  store_path path(store);
  CHECK(path.target() == store);

  SECTION("stays direct without other instances") {
    CHECK_FALSE(path.failed(store, start));
    CHECK(path.target() == store);
  }

  SECTION("leads over the others in turn, and back") {
    path.set_relays({first, second});
    CHECK(path.failed(store, start));
    CHECK(path.target() == first);
    CHECK(path.failed(first, start));
    CHECK(path.target() == second);
    CHECK(path.failed(second, start));
    CHECK(path.target() == store);
  }

  SECTION("does not change for answers of an earlier way") {
    path.set_relays({first, second});
    path.failed(store, start);
    CHECK_FALSE(path.failed(store, start));
    CHECK(path.target() == first);
    path.succeeded(second);
    CHECK(path.target() == first);
  }

  SECTION("is tried directly once a second, and used again when that works") {
    path.set_relays({first});
    CHECK_FALSE(path.take_probe(start));
    path.failed(store, start);
    CHECK_FALSE(path.take_probe(start + milliseconds(900)));
    CHECK(path.take_probe(start + seconds(1)));
    CHECK_FALSE(path.take_probe(start + milliseconds(1100)));
    path.succeeded(store);
    CHECK(path.is_direct());
  }

  SECTION("leaves an instance that is gone") {
    path.set_relays({first, second});
    path.failed(store, start);
    path.set_relays({second});
    CHECK(path.target() == store);
  }
}

} // namespace boragedoor::instance
