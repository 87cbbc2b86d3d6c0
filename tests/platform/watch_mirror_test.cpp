#include "instance/watch_mirror.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "instance/watch_messages.h"

namespace boragedoor::instance {

namespace {

constexpr time_point start{seconds(100)};
constexpr duration limit = seconds(2);

/// A call that was answered at once.
call_times at(time_point now) {
  return {.sent_at = now, .answered_at = now};
}

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

// Guards against an instance that begins to watch for others in the middle of a list serving only
// its last pages, so that the others drop the routes or endpoints of the first ones.
TEST_CASE("a watch mirror takes pages of a list only behind the first one") {
  watch_mirror mirror;
  mirror.apply_page({store_status::ok, {make_item("b", 4)}, false, 7}, false, at(start));
  CHECK_FALSE(mirror.is_complete());
  mirror.apply_events({store_status::ok, {}, 9}, at(start));
  CHECK_FALSE(mirror.is_fresh(start, limit));
  mirror.apply_page({store_status::ok, {make_item("a", 3)}, true, 5}, true, at(start));
  mirror.clear();
  mirror.apply_page({store_status::ok, {make_item("b", 4)}, false, 7}, false, at(start));
  CHECK_FALSE(mirror.is_complete());
}

// Guards against an instance that serves an old copy because it got it from another one just now.
TEST_CASE("a copy of a copy is as old as the first one") {
  watch_mirror mirror;
  mirror.apply_page({store_status::ok, {make_item("a", 3)}, false, 5}, true,
                    {.sent_at = start, .answered_at = start, .age = milliseconds(1500)});
  CHECK(mirror.age(start) == milliseconds(1500));
  CHECK(mirror.is_fresh(start + milliseconds(500), limit));
  CHECK_FALSE(mirror.is_fresh(start + milliseconds(501), limit));

  SECTION("an answer from an older copy does not make it older") {
    mirror.apply_events({store_status::ok, {}, 5},
                        {.sent_at = start, .answered_at = start, .age = milliseconds(1900)});
    CHECK(mirror.age(start) == milliseconds(1500));
  }
  SECTION("an answer from a copy that the store has confirmed makes it fresh") {
    mirror.apply_events({store_status::ok, {put("a", 7)}, 7}, {.sent_at = start,
                                                               .wait = seconds(1),
                                                               .answered_at = start + seconds(1),
                                                               .age = milliseconds(10)});
    CHECK(mirror.age(start + seconds(1)) == milliseconds(10));
  }
}

TEST_CASE("a watch mirror holds a copy of a prefix") {
  watch_mirror mirror;
  CHECK_FALSE(mirror.is_complete());
  mirror.apply_page({store_status::ok, {make_item("a", 3)}, true, 5}, true, at(start));
  CHECK_FALSE(mirror.is_complete());
  mirror.apply_page({store_status::ok, {make_item("b", 4)}, false, 7}, false, at(start));
  REQUIRE(mirror.is_complete());
  // Pages are not a consistent snapshot: changes since the first page are repeated.
  CHECK(mirror.as_of() == 5);
  CHECK(mirror.list().items.size() == 2);

  SECTION("returns the changes after a revision, or missing for older revisions") {
    mirror.apply_events({store_status::ok, {put("c", 6), removal("a", 8)}, 9}, at(start));
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
    mirror.apply_events({store_status::ok, {}, 9}, at(start + limit));
    CHECK(mirror.is_fresh(start + 2 * limit, limit));
    mirror.mark_unconfirmed();
    CHECK_FALSE(mirror.is_fresh(start + limit, limit));
    mirror.apply_events({store_status::ok, {}, 9}, at(start + limit));
    CHECK(mirror.is_fresh(start + limit, limit));
  }

  SECTION("the copy is discarded when the store no longer has its history") {
    mirror.apply_events({store_status::missing, {}, 0}, at(start));
    CHECK_FALSE(mirror.is_complete());
    mirror.apply_events({store_status::ok, {put("c", 6)}, 9}, at(start));
    CHECK_FALSE(mirror.is_complete());
  }

  SECTION("the oldest changes are dropped first") {
    std::uint64_t revision = 10;
    for (int n = 0; n < 2000; ++n) {
      ++revision;
      mirror.apply_events({store_status::ok, {put("a", revision)}, revision}, at(start));
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
    mirror.apply_events({store_status::ok, {removal("a", 8)}, 9}, at(start));
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
    mirror.apply_page({store_status::ok, {}, false, revision}, true, at(start));
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
          at(start));
    }
  });
}

// Guards against instances that learn of a change too late, because the copy that they follow is
// served while its own way to the store is lost.
TEST_CASE("a copy is served only for a bounded time after the store last confirmed it") {
  constexpr duration interval = milliseconds(1500);
  constexpr duration served_for = milliseconds(1750);
  constexpr duration shortest = milliseconds(100);
  watch_mirror mirror;
  mirror.apply_page({store_status::ok, {}, false, 1}, true, at(start));

  SECTION("an answer that was read late confirms the copy for the time at which it was written") {
    // The instance stood still for three seconds while the answer waited for it.
    mirror.apply_events({store_status::ok, {}, 2},
                        {.sent_at = start, .wait = interval, .answered_at = start + seconds(3)});
    CHECK(mirror.fresh_for(start + interval, served_for) == served_for);
    CHECK_FALSE(mirror.is_fresh(start + interval + served_for + milliseconds(1), served_for));
  }

  SECTION("it stays fresh while the store answers, also late and after pauses") {
    rc::prop("with any delay of the store", [&] {
      const auto delay = milliseconds(*rc::gen::inRange(0, 400));
      const auto pause = milliseconds(*rc::gen::inRange(0, 400));
      const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000));
      watch_mirror copy;
      copy.apply_page({store_status::ok, {}, false, 1}, true, at(start));
      time_point now = start;
      std::uint64_t revision = 1;
      bool is_first = true;
      for (const int until_change : steps) {
        const time_point sent_at = now;
        const duration wait = copy.next_wait(now, interval, shortest);
        RC_ASSERT(wait >= shortest && wait <= interval);
        const bool changed = milliseconds(until_change) < wait;
        now += delay + (changed ? duration(milliseconds(until_change)) : wait);
        // The delay is not known before the first answer without changes.
        RC_ASSERT(is_first || copy.is_fresh(now, served_for));
        const call_times times{.sent_at = sent_at, .wait = wait, .answered_at = now};
        if (changed) {
          ++revision;
          copy.apply_events({store_status::ok, {put("a", revision)}, revision}, times);
          now += pause;
        } else {
          copy.apply_events({store_status::ok, {}, revision}, times);
          is_first = false;
        }
      }
    });
  }

  SECTION("it is not fresh if nothing confirms it, and is confirmed as soon as possible then") {
    CHECK(mirror.fresh_for(start, served_for) == served_for);
    CHECK(mirror.fresh_for(start + seconds(2), served_for) == duration::zero());
    CHECK(mirror.next_wait(start + seconds(2), interval, shortest) == shortest);
    mirror.mark_unconfirmed();
    CHECK(mirror.fresh_for(start, served_for) == duration::zero());
    CHECK(mirror.next_wait(start, interval, shortest) == shortest);
    mirror.clear();
    CHECK(mirror.next_wait(start, interval, shortest) == shortest);
  }
}

} // namespace boragedoor::instance
