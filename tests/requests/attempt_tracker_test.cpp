#include "requests/attempt_tracker.h"

#include <set>

#include "support/fault_store.h"
#include "support/property.h"

namespace boragedoor::requests {

namespace {

template <class T>
std::size_t count(const attempt_actions& out) {
  std::size_t n = 0;
  for (const attempt_action& it : out) {
    n += std::holds_alternative<T>(it) ? 1 : 0;
  }
  return n;
}

/// What an attempt really is, to compare with what the tracker lets through.
struct true_attempt {
  std::string id;
  std::uint64_t request;
  std::uint64_t connection;
  std::uint64_t frames = 0;
};

} // namespace

TEST_CASE("answers of endpoints") {
  attempt_tracker tracker;
  tracker.begin({}, "a", 1, 10, false);
  tracker.begin({}, "b", 2, 20, true);

  SECTION("are given to the request they belong to, once") {
    CHECK(count<answer_accepted>(tracker.answer({}, 10, "a")) == 1);
    const auto again = tracker.answer({}, 10, "a");
    CHECK(count<answer_accepted>(again) == 0);
    CHECK(count<close_connection>(again) == 1);
  }
  SECTION("that are crossed close both connections") {
    const auto out = tracker.answer({}, 20, "a");
    CHECK(count<close_connection>(out) == 2);
    CHECK(count<attempt_broken>(out) == 2);
    CHECK(tracker.running() == 0);
  }
  SECTION("that come after the caller left close the connection") {
    CHECK(count<cancel_attempt>(tracker.cancel_request({}, 1)) == 1);
    CHECK(count<close_connection>(tracker.answer({}, 10, "a")) == 1);
  }
  SECTION("of two attempts at one request count once") {
    tracker.begin({}, "c", 1, 30, false);
    const auto out = tracker.answer({}, 30, "c");
    CHECK(count<answer_accepted>(out) == 1);
    CHECK(count<cancel_attempt>(out) == 1);
    CHECK(count<answer_accepted>(tracker.answer({}, 10, "a")) == 0);
  }
  SECTION("that are streams need every frame and the end marker") {
    CHECK(count<frame_accepted>(tracker.frame({}, 20, {"b", 0, "x", 5})) == 1);
    SECTION("whole") {
      CHECK(count<answer_accepted>(tracker.end_of_stream({}, 20, "b", 1)) == 1);
    }
    SECTION("with a gap") {
      CHECK(count<attempt_broken>(tracker.frame({}, 20, {"b", 2, "x", 5})) == 1);
    }
    SECTION("cut off") {
      CHECK(count<attempt_broken>(tracker.connection_lost({}, 20, "closed")) == 1);
    }
    SECTION("with an end that counts more frames") {
      CHECK(count<close_connection>(tracker.end_of_stream({}, 20, "b", 2)) == 1);
    }
    SECTION("with an error frame") {
      CHECK(count<attempt_broken>(tracker.error_answer({}, 20, "b", "out of memory")) == 1);
    }
  }
}

TEST_CASE("no caller gets a part of another answer, or two answers") {
  testing::fault_counts counts;
  testing::check_property("with late, crossed and repeated frames", [&] {
    random_engine random(
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed"));
    ++counts.schedules;
    attempt_tracker tracker;
    std::vector<true_attempt> all;
    std::set<std::uint64_t> answered;
    const auto check = [&](const attempt_actions& out, const true_attempt& of, bool honest) {
      for (const attempt_action& it : out) {
        if (const auto* whole = std::get_if<answer_accepted>(&it)) {
          RC_ASSERT(honest);
          RC_ASSERT(whole->request == of.request);
          RC_ASSERT(whole->attempt == of.id);
          RC_ASSERT(answered.insert(whole->request).second);
        } else if (const auto* frame = std::get_if<frame_accepted>(&it)) {
          RC_ASSERT(honest);
          RC_ASSERT(frame->request == of.request);
        }
      }
      if (!honest) {
        RC_ASSERT(count<close_connection>(out) > 0U);
      }
    };
    for (std::uint64_t n = 0; n < 300; ++n) {
      ++counts.steps;
      if (all.empty() || testing::pick(random, 4) == 0) {
        const std::uint64_t request = 1 + testing::pick(random, 1000);
        if (!answered.contains(request)) {
          all.push_back({"a" + std::to_string(n), request, testing::pick(random, 6)});
          if (count<attempt_broken>(
                  tracker.begin({}, all.back().id, request, all.back().connection, true)) != 0) {
            all.pop_back();
          }
        }
        continue;
      }
      true_attempt& it = all[testing::pick(random, all.size())];
      const std::uint64_t fault = testing::pick(random, 12);
      if (fault == 0) {
        counts.count("crossed frames");
        check(tracker.frame({}, it.connection + 100, {it.id, it.frames, "x", 1}), it, false);
      } else if (fault == 1) {
        counts.count("gaps");
        check(tracker.frame({}, it.connection, {it.id, it.frames + 1, "x", 1}), it, false);
      } else if (fault < 5) {
        const auto out = tracker.end_of_stream({}, it.connection, it.id, it.frames);
        check(out, it, count<answer_accepted>(out) != 0);
      } else {
        const auto out = tracker.frame({}, it.connection, {it.id, it.frames, "x", 1});
        // A frame is refused only after the attempt ended, and then closes the connection.
        check(out, it, count<frame_accepted>(out) != 0);
        it.frames += count<frame_accepted>(out);
      }
    }
  });
  counts.print("attempts");
}

} // namespace boragedoor::requests
