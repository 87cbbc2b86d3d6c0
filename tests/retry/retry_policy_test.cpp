#include "retry/retry_policy.h"

#include "retry/naive_retry.h"
#include "support/property.h"

namespace boragedoor::retry {

namespace {

attempt_progress any_progress() {
  switch (*rc::gen::inRange(0, 3)) {
  case 0:
    return nothing_sent{};
  case 1:
    return possibly_sent{};
  default:
    return streaming{*rc::gen::inRange(1, 500)};
  }
}

const retry_attempt* retry_of(const retry_decision& it) {
  return std::get_if<retry_attempt>(&it);
}

} // namespace

TEST_CASE("retry policy decisions") {
  auto policy = retry_policy::create({}).value();
  random_engine random{1};
  const time_point now{seconds(1000)};
  failed_attempt it;
  it.deadline = now + seconds(60);

  SECTION("an idempotent request is retried after a jittered delay") {
    const auto decision = policy.decide(it, now, random);
    REQUIRE(retry_of(decision) != nullptr);
    CHECK(retry_of(decision)->at >= now);
    CHECK(retry_of(decision)->at <= now + milliseconds(50));
  }
  SECTION("a stream resumes after the text so far if that is allowed, and starts over otherwise") {
    it.progress = streaming{40};
    CHECK(retry_of(policy.decide(it, now, random))->resume_from == 0);
    it.resume_allowed = true;
    CHECK(retry_of(policy.decide(it, now, random))->resume_from == 40);
  }
  SECTION(
      "a non-idempotent request that may have run is not retried, and its execution is reported") {
    it.idempotent = false;
    it.progress = possibly_sent{};
    CHECK(std::get<give_up>(policy.decide(it, now, random)).execution == executed::unknown);
    it.progress = streaming{1};
    CHECK(std::get<give_up>(policy.decide(it, now, random)).execution == executed::yes);
    SECTION("a non-idempotent request that certainly did not run is retried") {
      it.not_executed = true;
      CHECK(retry_of(policy.decide(it, now, random)) != nullptr);
      it.not_executed = false;
      it.progress = nothing_sent{};
      CHECK(retry_of(policy.decide(it, now, random)) != nullptr);
    }
  }
  SECTION("the number of attempts and the deadline limit the retries") {
    it.attempts = 4;
    CHECK(std::get<give_up>(policy.decide(it, now, random)).reason ==
          give_up_reason::attempts_exhausted);
    it.attempts = 1;
    it.deadline = now;
    CHECK(std::get<give_up>(policy.decide(it, now, random)).reason == give_up_reason::deadline);
  }
  SECTION("invalid limits are rejected") {
    CHECK_FALSE(retry_policy::create({.budget_fraction = -1}));
    CHECK_FALSE(retry_policy::create({.largest_attempts = 0}));
  }
}

TEST_CASE("retry policy invariants") {
  testing::check_property("retries stay within max_budget plus a fraction of successes", [] {
    const retry_options options;
    auto policy = retry_policy::create(options).value();
    random_engine random{3};
    const int failures_in_ten = *rc::gen::inRange(0, 11);
    int retries = 0;
    int successes = 0;
    for (int i = 0; i < 500; ++i) {
      if (i % 10 >= failures_in_ten) {
        policy.record_success();
        successes += 1;
        continue;
      }
      failed_attempt it;
      it.deadline = time_point{seconds(100)};
      retries += retry_of(policy.decide(it, time_point{}, random)) != nullptr ? 1 : 0;
      RC_ASSERT(retries <= options.max_budget + options.budget_fraction * successes + 1e-9);
    }
    // If every attempt fails, exactly the initial budget is used.
    RC_ASSERT(failures_in_ten < 10 || retries == static_cast<int>(options.max_budget));
  });
  testing::check_property("naive_retry retries whatever the policy retries, and the policy never "
                          "retries a non-idempotent request that may have run",
                          [] {
                            auto policy = retry_policy::create({}).value();
                            random_engine random{5};
                            failed_attempt it;
                            it.attempts = *rc::gen::inRange(1, 6);
                            it.progress = any_progress();
                            it.idempotent = *rc::gen::arbitrary<bool>();
                            it.not_executed = *rc::gen::arbitrary<bool>();
                            it.resume_allowed = *rc::gen::arbitrary<bool>();
                            it.deadline = time_point{milliseconds(*rc::gen::inRange(0, 2000))};
                            const time_point now{seconds(1)};
                            const auto decision = policy.decide(it, now, random);
                            if (const auto* again = retry_of(decision)) {
                              RC_ASSERT(retry_of(naive_retry::decide(it, now)) != nullptr);
                              RC_ASSERT(again->at >= now && again->at < it.deadline);
                              RC_ASSERT(it.idempotent || execution_status(it) == executed::no);
                            }
                          });
  testing::check_property("the maximum delay doubles with each attempt up to longest_delay", [] {
    auto policy = retry_policy::create({.largest_attempts = 100}).value();
    random_engine random{*rc::gen::arbitrary<std::uint64_t>()};
    failed_attempt it;
    it.attempts = *rc::gen::inRange(1, 99);
    it.deadline = time_point{seconds(1000)};
    const auto decision = policy.decide(it, time_point{}, random);
    RC_ASSERT(retry_of(decision) != nullptr);
    const auto max_delay = it.attempts > 7 ? duration(seconds(5))
                                           : duration(milliseconds(50)) * (1 << (it.attempts - 1));
    RC_ASSERT(retry_of(decision)->at <= time_point{std::min(max_delay, duration(seconds(5)))});
  });
}

} // namespace boragedoor::retry
