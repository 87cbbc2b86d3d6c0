#include "retry/hedge_policy.h"

#include "support/property.h"

namespace boragedoor::retry {

namespace {

constexpr std::string_view kind = "model";

// Returns a policy with 40 completed attempts of 200 tokens that took 8 to 12 s.
hedge_policy make_policy(const hedge_options& options = {}) {
  auto policy = hedge_policy::create(options).value();
  for (int i = 0; i < 40; ++i) {
    policy.record_completed(kind, milliseconds(8000 + 100 * i), 200);
  }
  return policy;
}

group_attempt slow_member() {
  group_attempt it;
  it.kind = kind;
  it.tokens = 20;
  it.expected_tokens = 200;
  it.group_size = 8;
  it.group_open = 1;
  return it;
}

} // namespace

TEST_CASE("hedge policy") {
  auto policy = make_policy();
  group_attempt it = slow_member();
  const time_point now{seconds(20)};

  SECTION("hedges an attempt that is much slower than usual") {
    CHECK(policy.decide(it, now));
    SECTION("reserves the expected tokens until the slower attempt is cancelled") {
      CHECK(policy.extra_tokens() == 200);
      policy.record_extra_tokens(30, 200);
      CHECK(policy.extra_tokens() == 30);
    }
  }
  SECTION("does not hedge a long response at normal speed, so that long samples are not replaced") {
    it.tokens = 500;
    it.expected_tokens = 600;
    CHECK_FALSE(policy.decide(it, time_point{seconds(25)}));
  }
  SECTION("does not hedge while many members of the group are open") {
    it.group_open = 4;
    CHECK_FALSE(policy.decide(it, now));
  }
  SECTION("does not hedge a non-idempotent or already hedged attempt") {
    it.idempotent = false;
    CHECK_FALSE(policy.decide(it, now));
    it.idempotent = true;
    it.hedged = true;
    CHECK_FALSE(policy.decide(it, now));
  }
  SECTION("does not hedge a kind with too few samples") {
    it.kind = "new";
    CHECK_FALSE(policy.decide(it, now));
  }
}

TEST_CASE("hedge policy limits the extra tokens") {
  testing::check_property("reserved and used extra tokens stay within the limit", [] {
    const hedge_options options;
    auto policy = make_policy(options);
    double useful = 40 * 200;
    for (int i = 0; i < 300; ++i) {
      if (*rc::gen::inRange(0, 2) == 0) {
        policy.record_completed(kind, seconds(10), 200);
        useful += 200;
      } else {
        policy.decide(slow_member(), time_point{seconds(20)});
      }
      RC_ASSERT(policy.extra_tokens() <=
                options.initial_extra_tokens + options.max_extra_fraction * useful);
    }
  });
}

} // namespace boragedoor::retry
