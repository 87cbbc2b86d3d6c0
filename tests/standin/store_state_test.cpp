#include "standin/rate_limiter.h"
#include "standin/store_state.h"

#include "support/property.h"

namespace boragedoor::standin {

namespace {

using status = store_state::status;

constexpr time_point start{std::chrono::hours(1)};

} // namespace

TEST_CASE("the store's content") {
  store_state store(4);

  SECTION("a key is created once and replaced only at the expected version") {
    CHECK(store.put("a", "1", 0, {}, start).version == 1);
    const auto again = store.put("a", "2", 0, {}, start);
    CHECK(again.what == status::conflict);
    CHECK(again.version == 1);
    CHECK(store.put("b", "1", 7, {}, start).version == 0);
    CHECK(store.put("a", "2", 1, {}, start).version == 2);
    CHECK(store.get("a", start)->value == "2");

    SECTION("and a version is the revision of the whole store") {
      CHECK(store.put("c", "1", {}, {}, start).version == 3);
      CHECK(store.put("a", "3", 2, {}, start).version == 4);
    }

    SECTION("and deleted only at the expected version") {
      CHECK(store.remove("a", 1, start).what == status::conflict);
      CHECK(store.remove("a", 2, start).what == status::done);
      CHECK(store.remove("a", {}, start).what == status::not_found);
      CHECK_FALSE(store.get("a", start));
    }
  }

  SECTION("a prefix lists its keys only") {
    for (const char* key : {"a/1", "a/2", "a0", "b"}) {
      store.put(key, "", {}, {}, start);
    }
    CHECK(store.list("a/", start).size() == 2);
    CHECK(store.list("", start).size() == 4);
  }

  SECTION("a lease") {
    const std::string lease = store.create_lease(seconds(6), start);
    REQUIRE(store.put("held", "x", 0, lease, start).what == status::done);

    SECTION("keeps its keys while it is renewed in time") {
      CHECK(store.renew_lease(lease, start + seconds(5)) == seconds(6));
      CHECK(store.get("held", start + seconds(10)));
    }

    SECTION("takes its keys along when it expires, and watches see that") {
      CHECK(store.next_expiry() == start + seconds(6));
      CHECK(store.get("held", start + seconds(6) - duration(1)));
      CHECK_FALSE(store.get("held", start + seconds(6)));
      const auto changes = store.changes_after(1, "held");
      REQUIRE(changes.size() == 1);
      CHECK_FALSE(changes.front().value);
      CHECK(changes.front().version == 2);
      CHECK_FALSE(store.renew_lease(lease, start + seconds(6)));
      CHECK(store.put("held", "y", 0, lease, start + seconds(6)).what == status::unknown_lease);
    }

    SECTION("takes its keys along when it is deleted") {
      CHECK(store.delete_lease(lease, start));
      CHECK_FALSE(store.get("held", start));
      CHECK_FALSE(store.delete_lease(lease, start));
    }

    SECTION("lets a key go that is written without it") {
      store.put("held", "y", {}, {}, start);
      store.delete_lease(lease, start);
      CHECK(store.get("held", start));
    }
  }

  SECTION("the history") {
    for (int n = 1; n <= 6; ++n) {
      store.put("k" + std::to_string(n % 2), std::to_string(n), {}, {}, start);
    }

    SECTION("gives every change after a revision, also those replaced since") {
      const auto changes = store.changes_after(2, "k1");
      REQUIRE(changes.size() == 2);
      CHECK(changes[0].version == 3);
      CHECK(changes[1].value == "5");
    }

    SECTION("says when it no longer reaches back, or when the revision is another store's") {
      CHECK(store.has_history_after(2));
      CHECK_FALSE(store.has_history_after(1));
      CHECK(store.has_history_after(6));
      CHECK_FALSE(store.has_history_after(7));
    }
  }
}

TEST_CASE("whoever follows the changes of the store knows its content") {
  testing::check_property("replayed changes make the listed content", [] {
    store_state store(1000);
    time_point now = start;
    std::vector<std::string> leases;
    std::int64_t revision = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400))) {
      const std::string key = "k" + std::to_string(step % 5);
      now += milliseconds(step);
      switch (step / 100) {
      case 0:
        store.put(key, std::to_string(step), {}, {}, now);
        break;
      case 1:
        leases.push_back(store.create_lease(milliseconds(2 * step), now));
        store.put(key, std::to_string(step), {}, leases.back(), now);
        break;
      case 2:
        store.remove(key, {}, now);
        break;
      default:
        store.renew_lease(leases.empty() ? "" : leases.front(), now);
      }
      RC_ASSERT(store.revision() >= revision);
      revision = store.revision();
    }
    const auto listed = store.list("", now);
    std::map<std::string, std::pair<std::string, std::int64_t>> replayed;
    for (const auto& it : store.changes_after(0, "")) {
      if (it.value) {
        replayed[it.key] = {*it.value, it.version};
      } else {
        replayed.erase(it.key);
      }
    }
    RC_ASSERT(replayed.size() == listed.size());
    for (const auto& it : listed) {
      RC_ASSERT(replayed.at(it.key) == std::pair(it.value, it.version));
    }
  });
}

TEST_CASE("a rate limit lets one second's worth through and refills with time") {
  rate_limiter limiter(2);
  CHECK(limiter.take(start));
  CHECK(limiter.take(start));
  CHECK_FALSE(limiter.take(start));
  CHECK(limiter.take(start + milliseconds(500)));
  CHECK_FALSE(limiter.take(start + milliseconds(500)));
  CHECK(rate_limiter(0).take(start));
}

} // namespace boragedoor::standin
