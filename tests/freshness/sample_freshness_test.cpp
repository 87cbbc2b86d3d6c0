#include "freshness/naive_sample_freshness.h"
#include "freshness/sample_freshness.h"

#include "support/property.h"

namespace boragedoor::freshness {

namespace {

// Publishes versions 1 to `count` every two minutes; returns the time of the last one.
time_point publish(sample_freshness& it, std::string_view trainer, int count) {
  time_point at{};
  for (int n = 1; n <= count; ++n) {
    at = time_point{seconds(120 * n)};
    it.announce(trainer, static_cast<std::uint64_t>(n), at);
  }
  return at;
}

} // namespace

TEST_CASE("freshness of samples") {
  auto policy = sample_freshness::create({}).value();
  policy.put_trainer("tags", 2);
  policy.put_trainer("faults", 0);
  const time_point now = publish(policy, "tags", 10) + seconds(1);

  SECTION("a short sample may start on any version within the bound") {
    CHECK(policy.minimum_version("tags", seconds(10), now) == 8);
  }
  SECTION("one that lasts over publications needs fresher weights") {
    CHECK(policy.minimum_version("tags", seconds(150), now) == 9);
    SECTION("but never fresher than there are") {
      CHECK(policy.minimum_version("tags", seconds(2000), now) == 10);
    }
  }
  SECTION("each trainer has its own versions") {
    policy.announce("faults", 3, now);
    CHECK(policy.minimum_version("faults", seconds(1), now) == 3);
    CHECK(policy.minimum_version("nobody", seconds(1), now) == 0);
  }
  SECTION("a running sample") {
    running_sample it{.trainer = "tags",
                      .oldest_version = 8,
                      .remaining = seconds(20),
                      .remaining_elsewhere = seconds(20),
                      .whole = seconds(60)};
    SECTION("runs on when it ends in time") {
      CHECK(policy.check(it, now) == sample_decision::keep);
    }
    SECTION("moves when only its engine is too slow") {
      it.remaining = seconds(400);
      CHECK(policy.check(it, now) == sample_decision::resume);
    }
    SECTION("starts again when no engine ends it in time") {
      it.remaining = it.remaining_elsewhere = seconds(200);
      CHECK(policy.check(it, now) == sample_decision::restart);
      SECTION("unless a new start would be too late as well") {
        it.whole = seconds(1000);
        CHECK(policy.check(it, now) == sample_decision::keep);
      }
    }
    SECTION("starts again as soon as it is beyond the bound") {
      it.oldest_version = 7;
      it.whole = seconds(1000);
      CHECK(policy.check(it, now) == sample_decision::restart);
    }
  }
  SECTION("a publication that is overdue is expected at any moment") {
    CHECK(policy.version_at("tags", now + seconds(500), now + seconds(500)) == 11);
  }
}

TEST_CASE("freshness decisions hold for all lengths") {
  testing::check_property("a start on the minimum version is not restarted at once", [] {
    auto policy = sample_freshness::create({}).value();
    policy.put_trainer("tags", static_cast<std::uint64_t>(*rc::gen::inRange(0, 5)));
    const time_point now =
        publish(policy, "tags", *rc::gen::inRange(3, 20)) + seconds(*rc::gen::inRange(0, 300));
    const duration whole = seconds(*rc::gen::inRange(1, 600));
    const std::uint64_t version = policy.minimum_version("tags", whole, now);
    RC_ASSERT(version >= naive_sample_freshness::minimum_version("tags", whole, now));
    RC_ASSERT(!policy.exceeded("tags", version));
    const running_sample it{"tags", version, whole, whole, whole};
    RC_ASSERT(policy.check(it, now) == sample_decision::keep);
  });
  testing::check_property("what the naive version keeps in time is kept", [] {
    auto policy = sample_freshness::create({}).value();
    policy.put_trainer("tags", 2);
    const time_point now = publish(policy, "tags", 10);
    const duration left = seconds(*rc::gen::inRange(0, 600));
    const running_sample it{"tags", 10, left, left, seconds(60)};
    RC_ASSERT(naive_sample_freshness::check(it, now) == sample_decision::keep);
    if (policy.version_at("tags", now + left + seconds(2), now) <= 12) {
      RC_ASSERT(policy.check(it, now) == sample_decision::keep);
    }
  });
}

} // namespace boragedoor::freshness
