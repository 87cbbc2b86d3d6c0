#include "admission/admission_queue.h"

#include <set>

#include "support/property.h"

namespace boragedoor::admission {

namespace {

queued_request request(std::uint64_t id, std::string_view workspace, request_class kind,
                       time_point queued = {}) {
  queued_request it;
  it.id = id;
  it.workspace = workspace;
  it.kind = kind;
  it.tokens = 100;
  it.queued = queued;
  it.deadline = time_point::max();
  return it;
}

} // namespace

TEST_CASE("admission queue") {
  auto queue = admission_queue::create({.capacity = 8}).value();
  auto shares = fair_share::create({}).value();
  const time_point now{};
  const auto next = [&] { return queue.pop(shares, now)->id; };

  SECTION("takes interactive requests first") {
    REQUIRE(queue.push(request(1, "w", request_class::rollout)));
    REQUIRE(queue.push(request(2, "w", request_class::interactive)));
    CHECK(next() == 2);
    CHECK(next() == 1);
    CHECK_FALSE(queue.pop(shares, now));
  }
  SECTION("takes the least served workspace first, regardless of priority") {
    shares.record_usage("rich", 500, now);
    auto urgent = request(1, "rich", request_class::rollout);
    urgent.priority = 3;
    REQUIRE(queue.push(urgent));
    REQUIRE(queue.push(request(2, "poor", request_class::rollout)));
    CHECK(next() == 2);
  }
  SECTION("orders the requests of a workspace by priority, then paused streams, then age") {
    REQUIRE(queue.push(request(1, "w", request_class::rollout, now + seconds(1))));
    REQUIRE(queue.push(request(2, "w", request_class::rollout)));
    auto paused = request(3, "w", request_class::rollout, now + seconds(2));
    paused.pauses = 1;
    REQUIRE(queue.push(paused));
    auto urgent = request(4, "w", request_class::rollout, now + seconds(3));
    urgent.priority = 1;
    REQUIRE(queue.push(urgent));
    CHECK(std::vector{next(), next(), next(), next()} == std::vector<std::uint64_t>{4, 3, 2, 1});
  }
  SECTION("limits the total size and the size per workspace, except for paused streams") {
    for (std::uint64_t id = 0; id < 4; ++id) {
      REQUIRE(queue.push(request(id, "w", request_class::rollout)));
    }
    CHECK(queue.push(request(9, "w", request_class::rollout)).error().message ==
          "workspace_queue_full");
    auto paused = request(10, "w", request_class::rollout);
    paused.pauses = 1;
    CHECK(queue.push(paused));
    for (std::uint64_t id = 20; id < 23; ++id) {
      REQUIRE(queue.push(request(id, "v", request_class::rollout)));
    }
    CHECK(queue.push(request(30, "u", request_class::rollout)).error().message == "queue_full");
  }
  SECTION("returns expired requests and removes cancelled ones") {
    auto late = request(1, "w", request_class::rollout);
    late.deadline = now + seconds(5);
    REQUIRE(queue.push(late));
    REQUIRE(queue.push(request(2, "w", request_class::rollout)));
    CHECK(queue.expire(now + seconds(4)).empty());
    const auto gone = queue.expire(now + seconds(5));
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].id == 1);
    CHECK(queue.remove(2));
    CHECK(queue.size() == 0);
  }
}

TEST_CASE("admission queue does not starve requests") {
  testing::check_property("a waiting request is taken within a bounded number of pops", [] {
    auto queue =
        admission_queue::create({.capacity = 1000, .aging_threshold = seconds(30)}).value();
    auto shares = fair_share::create({}).value();
    time_point now{};
    // One old rollout of the lowest priority competes with a stream of newer, more urgent requests.
    REQUIRE(queue.push(request(0, "w", request_class::rollout, now)));
    now += seconds(1);
    const int rivals = *rc::gen::inRange(1, 5);
    int turns = 0;
    for (std::uint64_t id = 1;; ++turns) {
      for (int i = 0; i < rivals; ++i) {
        auto it = request(id++, i % 2 == 0 ? "w" : "v",
                          i < 2 ? request_class::rollout : request_class::interactive, now);
        it.priority = 3;
        REQUIRE(queue.push(it));
      }
      now += seconds(1);
      const auto next = queue.pop(shares, now);
      RC_ASSERT(next.has_value());
      if (next->id == 0) {
        break;
      }
      shares.record_usage(next->workspace, next->tokens, now);
      // 30 s until the request has aged, then every eighth rollout is taken by age, and at least
      // every eighth request is a rollout.
      RC_ASSERT(turns <= 30 + 8 * 8);
    }
  });
}

} // namespace boragedoor::admission
