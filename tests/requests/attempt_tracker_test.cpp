#include "requests/attempt_tracker.h"

#include <set>

#include "support/fault_store.h"
#include "support/property.h"

namespace boragedoor::requests {

namespace {

template <class T>
std::size_t count(const attempt_actions& actions) {
  std::size_t n = 0;
  for (const attempt_action& it : actions) {
    n += std::holds_alternative<T>(it) ? 1 : 0;
  }
  return n;
}

/// The expected state of an attempt, which the actions of the tracker are compared with.
struct expected_attempt {
  std::string id;
  std::uint64_t request;
  std::uint64_t connection;
  std::uint64_t frames = 0;
};

} // namespace

TEST_CASE("attempt_tracker matches responses to attempts") {
  attempt_tracker tracker;
  tracker.begin({}, "a", 1, 10, false);
  tracker.begin({}, "b", 2, 20, true);

  SECTION("a response is accepted for its request once") {
    CHECK(count<response_accepted>(tracker.response({}, 10, "a")) == 1);
    const auto again = tracker.response({}, 10, "a");
    CHECK(count<response_accepted>(again) == 0);
    CHECK(count<close_connection>(again) == 1);
  }
  SECTION("a response on the wrong connection closes both connections") {
    const auto actions = tracker.response({}, 20, "a");
    CHECK(count<close_connection>(actions) == 2);
    CHECK(count<attempt_failed>(actions) == 2);
    CHECK(tracker.running_attempts() == 0);
  }
  SECTION("a response after the request was cancelled closes the connection") {
    CHECK(count<cancel_attempt>(tracker.cancel_request({}, 1)) == 1);
    CHECK(count<close_connection>(tracker.response({}, 10, "a")) == 1);
  }
  SECTION("only one of two attempts of a request is accepted") {
    tracker.begin({}, "c", 1, 30, false);
    const auto actions = tracker.response({}, 30, "c");
    CHECK(count<response_accepted>(actions) == 1);
    CHECK(count<cancel_attempt>(actions) == 1);
    CHECK(count<response_accepted>(tracker.response({}, 10, "a")) == 0);
  }
  SECTION("a stream needs every frame and the end marker") {
    CHECK(count<frame_accepted>(tracker.frame({}, 20, {"b", 0, "x", 5})) == 1);
    SECTION("a complete stream is accepted") {
      CHECK(count<response_accepted>(tracker.end_of_stream({}, 20, "b", 1)) == 1);
    }
    SECTION("a stream with a missing frame fails") {
      CHECK(count<attempt_failed>(tracker.frame({}, 20, {"b", 2, "x", 5})) == 1);
    }
    SECTION("a stream fails when its connection is lost") {
      CHECK(count<attempt_failed>(tracker.connection_lost({}, 20, "closed")) == 1);
    }
    SECTION("an end marker that counts too many frames closes the connection") {
      CHECK(count<close_connection>(tracker.end_of_stream({}, 20, "b", 2)) == 1);
    }
    SECTION("a stream with an error frame fails") {
      CHECK(count<attempt_failed>(tracker.error_response({}, 20, "b", "out of memory")) == 1);
    }
  }
}

TEST_CASE("attempt_tracker never accepts a response for the wrong request or two for one request") {
  testing::fault_counts counts;
  testing::check_property("matching late, misdirected and repeated frames", [&] {
    random_engine random(
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed"));
    ++counts.schedules;
    attempt_tracker tracker;
    std::vector<expected_attempt> all;
    std::set<std::uint64_t> answered;
    const auto check = [&](const attempt_actions& actions, const expected_attempt& expected,
                           bool expect_match) {
      for (const attempt_action& it : actions) {
        if (const auto* accepted = std::get_if<response_accepted>(&it)) {
          RC_ASSERT(expect_match);
          RC_ASSERT(accepted->request == expected.request);
          RC_ASSERT(accepted->attempt == expected.id);
          RC_ASSERT(answered.insert(accepted->request).second);
        } else if (const auto* frame = std::get_if<frame_accepted>(&it)) {
          RC_ASSERT(expect_match);
          RC_ASSERT(frame->request == expected.request);
        }
      }
      if (!expect_match) {
        RC_ASSERT(count<close_connection>(actions) > 0U);
      }
    };
    for (std::uint64_t n = 0; n < 300; ++n) {
      ++counts.steps;
      if (all.empty() || testing::pick(random, 4) == 0) {
        const std::uint64_t request = 1 + testing::pick(random, 1000);
        if (!answered.contains(request)) {
          all.push_back({"a" + std::to_string(n), request, testing::pick(random, 6)});
          if (count<attempt_failed>(
                  tracker.begin({}, all.back().id, request, all.back().connection, true)) != 0) {
            all.pop_back();
          }
        }
        continue;
      }
      expected_attempt& it = all[testing::pick(random, all.size())];
      const std::uint64_t fault = testing::pick(random, 12);
      if (fault == 0) {
        counts.count("misdirected frames");
        check(tracker.frame({}, it.connection + 100, {it.id, it.frames, "x", 1}), it, false);
      } else if (fault == 1) {
        counts.count("missing frames");
        check(tracker.frame({}, it.connection, {it.id, it.frames + 1, "x", 1}), it, false);
      } else if (fault < 5) {
        const auto actions = tracker.end_of_stream({}, it.connection, it.id, it.frames);
        check(actions, it, count<response_accepted>(actions) != 0);
      } else {
        const auto actions = tracker.frame({}, it.connection, {it.id, it.frames, "x", 1});
        // A frame is rejected only after its attempt ended, and the rejection closes the
        // connection.
        check(actions, it, count<frame_accepted>(actions) != 0);
        it.frames += count<frame_accepted>(actions);
      }
    }
  });
  counts.print("attempts");
}

} // namespace boragedoor::requests
