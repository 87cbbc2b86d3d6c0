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

bool is_accepted(const admission_answer& it) {
  return std::holds_alternative<accepted>(it);
}

} // namespace

TEST_CASE("admission") {
  auto admission = admission_controller::create({}).value();
  admission.set_places(2);
  const time_point now{seconds(1000)};
  const time_point far = now + seconds(1000);
  using ids = std::vector<std::uint64_t>;

  SECTION("starts what fits and keeps a place free of rollouts") {
    CHECK(is_accepted(admission.submit(request(1, request_class::rollout, far), now)));
    CHECK(is_accepted(admission.submit(request(2, request_class::rollout, far), now)));
    CHECK(admission.poll(now).start == ids{1});
    CHECK(is_accepted(admission.submit(request(3, request_class::interactive, far), now)));
    CHECK(admission.poll(now).start == ids{3});
    SECTION("pauses a rollout for an interactive request when no place is left") {
      const time_point later = now + seconds(3);
      admission.progress(1, 150, later);
      CHECK(is_accepted(admission.submit(request(4, request_class::interactive, far), later)));
      const auto actions = admission.poll(later);
      CHECK(actions.pause == ids{1});
      CHECK(actions.start == ids{4});
      SECTION("which resumes before new rollouts, with less left to do") {
        admission.finish(3, 100, true, later);
        admission.finish(4, 100, true, later);
        CHECK(admission.poll(later).start == ids{1});
      }
    }
    SECTION("but not one that has only just started") {
      CHECK(is_accepted(admission.submit(request(4, request_class::interactive, far), now)));
      CHECK(admission.poll(now).pause.empty());
    }
  }
  SECTION("refuses at once what would be late, and says truthfully when to come back") {
    for (std::uint64_t id = 1; id <= 10; ++id) {
      REQUIRE(is_accepted(admission.submit(request(id, request_class::rollout, far), now)));
    }
    admission.poll(now);
    const auto slack = seconds(20);
    const auto answer = admission.submit(request(11, request_class::rollout, now + slack), now);
    REQUIRE(std::holds_alternative<refused>(answer));
    const auto retry_after = std::get<refused>(answer).retry_after;
    CHECK(std::get<refused>(answer).reason == "deadline");
    // The work ahead runs down at the rate that the refusal assumed: 80 tokens a second, of which
    // a request of 400 leaves the queue each 5 s.
    time_point then = now;
    for (std::uint64_t id = 1; then + seconds(5) <= now + retry_after; ++id) {
      then += seconds(5);
      admission.finish(id, 400, true, then);
      admission.poll(then);
    }
    then = now + retry_after + seconds(5);
    CHECK(is_accepted(admission.submit(request(12, request_class::rollout, then + slack), then)));
  }
  SECTION("does not refuse for a stated length, from which it would never learn the real one") {
    auto overstated = request(1, request_class::interactive, now + seconds(5));
    overstated.stated_tokens = 100'000;
    CHECK(is_accepted(admission.submit(overstated, now)));
  }
  SECTION("reports requests that became late while they waited") {
    admission.submit(request(1, request_class::rollout, far), now);
    admission.submit(request(2, request_class::rollout, now + seconds(30)), now);
    admission.poll(now);
    CHECK(admission.poll(now + seconds(31)).late == ids{2});
  }
  SECTION("forgets a cancelled request and corrects the share to its real use") {
    admission.submit(request(1, request_class::rollout, far), now);
    admission.poll(now);
    CHECK(admission.shares().served("w", now) == Approx(400));
    admission.progress(1, 50, now);
    admission.cancel(1, now);
    CHECK(admission.running() == 0);
    CHECK(admission.shares().served("w", now) == Approx(50));
  }
}

TEST_CASE("places of an instance") {
  SECTION("grow by a part of what is free") {
    CHECK(places_of_instance(20, 100, 60, 8) == 25);
  }
  SECTION("shrink when the endpoints are overfull") {
    CHECK(places_of_instance(50, 100, 125, 8) == 40);
  }
  SECTION("never fall below an equal part, so that an outdated report stops nobody") {
    CHECK(places_of_instance(0, 100, 200, 8) == 13);
  }
}

TEST_CASE("admission against the naive version") {
  testing::check_property("equal requests of one workspace start in the same order", [] {
    auto policy = admission_controller::create({.interactive_reserve = 0}).value();
    policy.set_places(3);
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
