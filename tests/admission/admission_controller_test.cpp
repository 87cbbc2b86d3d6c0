#include "admission/admission_controller.h"

#include "admission/naive_admission.h"
#include "support/property.h"

namespace boragedoor::admission {

namespace {

admission_request request(std::uint64_t id, request_class kind, time_point deadline,
                          std::string_view workspace = "w") {
  return {
      .id = id, .workspace = workspace, .kind = kind, .stated_tokens = 400, .deadline = deadline};
}

bool is_accepted(const admission_decision& it) {
  return std::holds_alternative<accepted>(it);
}

} // namespace

TEST_CASE("admission controller") {
  auto admission = admission_controller::create({}).value();
  admission.set_max_running(2);
  const time_point now{seconds(1000)};
  const time_point far = now + seconds(1000);
  using ids = std::vector<std::uint64_t>;

  SECTION("starts requests up to the limit and reserves a slot for interactive requests") {
    CHECK(is_accepted(admission.submit(request(1, request_class::rollout, far), now)));
    CHECK(is_accepted(admission.submit(request(2, request_class::rollout, far), now)));
    CHECK(admission.poll(now).start == ids{1});
    CHECK(is_accepted(admission.submit(request(3, request_class::interactive, far), now)));
    CHECK(admission.poll(now).start == ids{3});
    SECTION("pauses a rollout for an interactive request when no slot is free") {
      const time_point later = now + seconds(3);
      admission.record_progress(1, 150, later);
      CHECK(is_accepted(admission.submit(request(4, request_class::interactive, far), later)));
      const auto actions = admission.poll(later);
      CHECK(actions.pause == ids{1});
      CHECK(actions.start == ids{4});
      SECTION("a paused rollout resumes before new rollouts") {
        admission.finish(3, 100, true, later);
        admission.finish(4, 100, true, later);
        CHECK(admission.poll(later).start == ids{1});
      }
    }
    SECTION("does not pause a rollout that has just started") {
      CHECK(is_accepted(admission.submit(request(4, request_class::interactive, far), now)));
      CHECK(admission.poll(now).pause.empty());
    }
  }
  SECTION("refuses a request that would miss its deadline and accepts it after retry_after") {
    for (std::uint64_t id = 1; id <= 10; ++id) {
      REQUIRE(is_accepted(admission.submit(request(id, request_class::rollout, far), now)));
    }
    admission.poll(now);
    const auto slack = seconds(20);
    const auto answer = admission.submit(request(11, request_class::rollout, now + slack), now);
    REQUIRE(std::holds_alternative<refused>(answer));
    const auto retry_after = std::get<refused>(answer).retry_after;
    CHECK(std::get<refused>(answer).reason == "deadline");
    // The queue drains at the rate that the refusal assumed: 80 tokens per second, so one request
    // of 400 tokens completes every 5 s.
    time_point then = now;
    for (std::uint64_t id = 1; then + seconds(5) <= now + retry_after; ++id) {
      then += seconds(5);
      admission.finish(id, 400, true, then);
      admission.poll(then);
    }
    then = now + retry_after + seconds(5);
    CHECK(is_accepted(admission.submit(request(12, request_class::rollout, then + slack), then)));
  }
  SECTION(
      "does not refuse a request because of its stated length while no real lengths are known") {
    auto overstated = request(1, request_class::interactive, now + seconds(5));
    overstated.stated_tokens = 100'000;
    CHECK(is_accepted(admission.submit(overstated, now)));
  }
  SECTION("reports requests whose deadline passed while they were queued") {
    admission.submit(request(1, request_class::rollout, far), now);
    admission.submit(request(2, request_class::rollout, now + seconds(30)), now);
    admission.poll(now);
    CHECK(admission.poll(now + seconds(31)).expired == ids{2});
  }
  SECTION("removes a cancelled request and corrects the charged usage") {
    admission.submit(request(1, request_class::rollout, far), now);
    admission.poll(now);
    CHECK(admission.shares().normalized_usage("w", now) == Approx(400));
    admission.record_progress(1, 50, now);
    admission.cancel(1, now);
    CHECK(admission.running() == 0);
    CHECK(admission.shares().normalized_usage("w", now) == Approx(50));
  }
}

TEST_CASE("max_running_of_instance") {
  SECTION("grows by a share of the free slots") {
    CHECK(max_running_of_instance(20, 100, 60, 8) == 25);
  }
  SECTION("shrinks when the endpoints have more requests than slots") {
    CHECK(max_running_of_instance(50, 100, 125, 8) == 40);
  }
  SECTION("never falls below an equal share, so that an outdated load report does not block an "
          "instance") {
    CHECK(max_running_of_instance(0, 100, 200, 8) == 13);
  }
}

TEST_CASE("admission controller compared with naive_admission") {
  testing::check_property("both start equal requests of one workspace in the same order", [] {
    auto policy = admission_controller::create({.interactive_reserve = 0}).value();
    policy.set_max_running(3);
    naive_admission naive(3 * 400);
    const time_point far{seconds(100'000)};
    std::vector<std::uint64_t> running;
    time_point now{};
    for (std::uint64_t id = 1; id < 60; ++id) {
      now += milliseconds(*rc::gen::inRange(1, 100));
      if (*rc::gen::inRange(0, 2) == 0 || running.empty()) {
        const auto it = request(id, request_class::rollout, far);
        policy.submit(it, now);
        naive.submit(it);
      } else {
        const auto index = *rc::gen::inRange<std::size_t>(0, running.size());
        policy.finish(running[index], 400, true, now);
        naive.finish(running[index]);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
      }
      const auto started = policy.poll(now).start;
      RC_ASSERT(started == naive.poll(now).start);
      running.insert(running.end(), started.begin(), started.end());
    }
  });
}

} // namespace boragedoor::admission
