#include "instance/watch_mirror.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "instance/watch_messages.h"

namespace boragedoor::instance {

namespace {

constexpr time_point start{seconds(100)};
constexpr duration limit = seconds(2);

stored_item make_item(const std::string& key, std::uint64_t revision) {
  return {key, "v" + std::to_string(revision), revision, revision, 0};
}

change_event put(const std::string& key, std::uint64_t revision) {
  return {make_item(key, revision), false};
}

change_event removal(const std::string& key, std::uint64_t revision) {
  return {{key, {}, revision, 0, 0}, true};
}

} // namespace

// Guards against an instance that begins to watch for others in the middle of a list serving only its
// last pages, so that the others drop the routes or endpoints of the first ones.
TEST_CASE("a watch mirror takes pages of a list only behind the first one") {
  watch_mirror mirror;
  mirror.apply_page({store_status::ok, {make_item("b", 4)}, false, 7}, false, start);
  CHECK_FALSE(mirror.is_complete());
  mirror.apply_events({store_status::ok, {}, 9}, start);
  CHECK_FALSE(mirror.is_fresh(start, limit));
  mirror.apply_page({store_status::ok, {make_item("a", 3)}, true, 5}, true, start);
  mirror.clear();
  mirror.apply_page({store_status::ok, {make_item("b", 4)}, false, 7}, false, start);
  CHECK_FALSE(mirror.is_complete());
}

TEST_CASE("a watch mirror holds a copy of a prefix") {
  watch_mirror mirror;
  CHECK_FALSE(mirror.is_complete());
  mirror.apply_page({store_status::ok, {make_item("a", 3)}, true, 5}, true, start);
  CHECK_FALSE(mirror.is_complete());
  mirror.apply_page({store_status::ok, {make_item("b", 4)}, false, 7}, false, start);
  REQUIRE(mirror.is_complete());
  // Pages are not a consistent snapshot: changes since the first page are repeated.
  CHECK(mirror.as_of() == 5);
  CHECK(mirror.list().items.size() == 2);

  SECTION("returns the changes after a revision, or missing for older revisions") {
    mirror.apply_events({store_status::ok, {put("c", 6), removal("a", 8)}, 9}, start);
    const auto since = mirror.changes(5);
    REQUIRE(since);
    REQUIRE(since->events.size() == 2);
    CHECK(since->as_of == 9);
    CHECK(mirror.changes(6)->events.size() == 1);
    CHECK_FALSE(mirror.changes(8));
    CHECK_FALSE(mirror.changes(9));
    CHECK(mirror.changes(4)->status == store_status::missing);
    CHECK(mirror.list().items.size() == 2);
  }

  SECTION("the copy is fresh only while the store confirms it") {
    CHECK(mirror.is_fresh(start + limit, limit));
    CHECK_FALSE(mirror.is_fresh(start + limit + milliseconds(1), limit));
    mirror.apply_events({store_status::ok, {}, 9}, start + limit);
    CHECK(mirror.is_fresh(start + 2 * limit, limit));
    mirror.mark_unconfirmed();
    CHECK_FALSE(mirror.is_fresh(start + limit, limit));
    mirror.apply_events({store_status::ok, {}, 9}, start + limit);
    CHECK(mirror.is_fresh(start + limit, limit));
  }

  SECTION("the copy is discarded when the store no longer has its history") {
    mirror.apply_events({store_status::missing, {}, 0}, start);
    CHECK_FALSE(mirror.is_complete());
    mirror.apply_events({store_status::ok, {put("c", 6)}, 9}, start);
    CHECK_FALSE(mirror.is_complete());
  }

  SECTION("the oldest changes are dropped first") {
    std::uint64_t revision = 10;
    for (int n = 0; n < 2000; ++n) {
      ++revision;
      mirror.apply_events({store_status::ok, {put("a", revision)}, revision}, start);
    }
    CHECK(mirror.changes(11)->status == store_status::missing);
    CHECK(mirror.changes(revision - 100)->events.size() == 100);
    CHECK(mirror.list().items.size() == 2);
  }

  SECTION("encoded responses decode to the same content") {
    const auto listed = list_answer_from_message(to_message(mirror.list()));
    REQUIRE(listed);
    CHECK(listed.value().as_of == 5);
    CHECK(listed.value().items[1].value == "v4");
    mirror.apply_events({store_status::ok, {removal("a", 8)}, 9}, start);
    const auto changes = watch_answer_from_message(to_message(*mirror.changes(5)));
    REQUIRE(changes);
    CHECK(changes.value().events[0].removed);
    CHECK_FALSE(list_answer_from_message("nothing"));
    CHECK_FALSE(watch_answer_from_message(to_message(mirror.list())));
  }
}

// Guards against a follower whose keys differ from those of the store after any order of changes.
TEST_CASE("a follower that polls occasionally has the same keys") {
  rc::prop("as the store", [] {
    watch_mirror mirror;
    std::map<std::string, std::uint64_t> store;
    std::map<std::string, std::uint64_t> seen;
    std::uint64_t revision = 1;
    std::uint64_t asked = 0;
    mirror.apply_page({store_status::ok, {}, false, revision}, true, start);
    asked = revision;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12))) {
      const std::string key(1, static_cast<char>('a' + step % 4));
      if (step >= 8) {
        if (const auto changes = mirror.changes(asked)) {
          for (const change_event& it : changes->events) {
            if (it.removed) {
              seen.erase(it.item.key);
            } else {
              seen[it.item.key] = it.item.revision;
            }
          }
          asked = changes->as_of;
        }
        RC_ASSERT(seen == store);
        continue;
      }
      ++revision;
      const bool removes = step < 4;
      if (removes) {
        store.erase(key);
      } else {
        store[key] = revision;
      }
      mirror.apply_events(
          {store_status::ok, {removes ? removal(key, revision) : put(key, revision)}, revision},
          start);
    }
  });
}

} // namespace boragedoor::instance
