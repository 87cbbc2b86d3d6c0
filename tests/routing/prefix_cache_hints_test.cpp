#include "routing/prefix_cache_hints.h"

#include <set>

#include "support/property.h"

namespace boragedoor::routing {

TEST_CASE("prefix hashes") {
  const std::string prompt(prefix_block_bytes * 3 + 10, 'x');
  SECTION("prefix hashes cover whole blocks and are equal for equal prefixes") {
    const auto all = prefix_hashes("m", prompt);
    const auto start = prefix_hashes("m", prompt.substr(0, prefix_block_bytes * 2));
    CHECK(all.size() == 3);
    CHECK(std::equal(start.begin(), start.end(), all.begin()));
  }
  SECTION("prefix hashes differ between models") {
    CHECK(prefix_hashes("m", prompt) != prefix_hashes("n", prompt));
  }
}

TEST_CASE("prefix cache hints") {
  auto hints = prefix_cache_hints::create({.capacity = 8}).value();
  const time_point now{seconds(1000)};
  const std::vector<prefix_hash> prompt{1, 2, 3, 4};

  SECTION("a dispatched prompt is expected to be cached") {
    hints.record_dispatch("e", prompt, now);
    CHECK(hints.expected_cached_share("e", prompt, now) == Approx(1));
    CHECK(hints.expected_cached_share("other", prompt, now) == 0);
    SECTION("the expected cached share decreases with the age of the hint") {
      CHECK(hints.expected_cached_share("e", prompt, now + seconds(60)) == Approx(0.5));
    }
    SECTION("only the start of a prompt counts as cached after the rest was evicted") {
      hints.apply("e", {5, false, 4}, now);
      hints.apply("e", {6, false, 3}, now);
      CHECK(hints.expected_cached_share("e", prompt, now) == Approx(0.5));
    }
    SECTION("no share is expected after the endpoint is forgotten") {
      hints.forget("e");
      CHECK(hints.expected_cached_share("e", prompt, now) == 0);
    }
    SECTION("a gap in the events halves the confidence") {
      hints.apply("e", {5, true, 99}, now);
      hints.apply("e", {9, true, 98}, now);
      CHECK(hints.gaps() == 1);
      CHECK(hints.expected_cached_share("e", prompt, now) == Approx(0.5));
    }
  }
  SECTION("a cached long prefix implies shorter ones whose events were lost") {
    hints.apply("e", {1, true, 4}, now);
    CHECK(hints.expected_cached_share("e", prompt, now) == Approx(1));
  }
  SECTION("an out-of-order stored event does not undo a later eviction") {
    hints.apply("e", {8, false, 4}, now);
    hints.apply("e", {7, true, 4}, now);
    CHECK(hints.expected_cached_share("e", prompt, now) == 0);
  }
  SECTION("the number of hints is limited and the latest ones are kept") {
    for (prefix_hash it = 10; it < 100; ++it) {
      hints.record_dispatch("e", std::vector{it}, now);
    }
    CHECK(hints.size() == 8);
    CHECK(hints.expected_cached_share("e", std::vector<prefix_hash>{99}, now) == Approx(1));
  }
}

TEST_CASE("prefix cache hints match a reference model of the cache") {
  testing::check_property("hints equal the cache contents without gaps, ageing and eviction", [] {
    auto hints = prefix_cache_hints::create({}).value();
    std::set<prefix_hash> cached;
    std::uint64_t sequence = 0;
    for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16))) {
      const auto prefix = static_cast<prefix_hash>(step / 2);
      const bool stored = step % 2 == 0;
      hints.apply("e", {++sequence, stored, prefix}, time_point{});
      if (stored) {
        cached.insert(prefix);
      } else {
        cached.erase(prefix);
      }
      const double share = hints.expected_cached_share("e", std::vector{prefix}, time_point{});
      RC_ASSERT(share == (cached.contains(prefix) ? 1.0 : 0.0));
    }
  });
}

} // namespace boragedoor::routing
