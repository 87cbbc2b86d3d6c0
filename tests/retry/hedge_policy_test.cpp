#include "retry/hedge_policy.h"

#include "support/property.h"

namespace boragedoor::retry {

namespace {

constexpr std::string_view kind = "model";

// Forty attempts of 200 tokens that took 8 to 12 s.
hedge_policy trained(const hedge_options& options = {}) {
  auto policy = hedge_policy::create(options).value();
  for (int i = 0; i < 40; ++i) {
    policy.record_completed(kind, milliseconds(8000 + 100 * i), 200);
  }
  return policy;
}

straggler_view slow_member() {
  straggler_view it;
  it.kind = kind;
  it.tokens = 20;
  it.expected_tokens = 200;
  it.group_size = 8;
  it.group_open = 1;
  return it;
}

} // namespace

TEST_CASE("hedging") {
  auto policy = trained();
  straggler_view it = slow_member();
  const time_point now{seconds(20)};

  SECTION("an attempt that runs far below the usual pace gets a second one") {
    CHECK(policy.decide(it, now));
    SECTION("which reserves its tokens until the loser is cancelled") {
      CHECK(policy.extra_tokens() == 200);
      policy.record_extra(30, 200);
      CHECK(policy.extra_tokens() == 30);
    }
  }
  SECTION("a long response at the usual pace does not, so that long samples are not replaced") {
    it.tokens = 500;
    it.expected_tokens = 600;
    CHECK_FALSE(policy.decide(it, time_point{seconds(25)}));
  }
  SECTION("neither does one in a group with many members open") {
    it.group_open = 4;
    CHECK_FALSE(policy.decide(it, now));
  }
  SECTION("nor a non-idempotent or already hedged one") {
    it.idempotent = false;
    CHECK_FALSE(policy.decide(it, now));
    it.idempotent = true;
    it.hedged = true;
    CHECK_FALSE(policy.decide(it, now));
  }
  SECTION("nor one of a kind that is hardly known") {
    it.kind = "new";
    CHECK_FALSE(policy.decide(it, now));
  }
}

TEST_CASE("extra work of hedging is bounded") {
  testing::check_property("reserved and spent tokens stay within the share", [] {
    const hedge_options options;
    auto policy = trained(options);
    double useful = 40 * 200;
    for (int i = 0; i < 300; ++i) {
      if (*rc::gen::inRange(0, 2) == 0) {
        policy.record_completed(kind, seconds(10), 200);
        useful += 200;
      } else {
        policy.decide(slow_member(), time_point{seconds(20)});
      }
      RC_ASSERT(policy.extra_tokens() <= options.initial_tokens + options.extra_share * useful);
    }
  });
}

} // namespace boragedoor::retry
