#include "routing/prefix_cache_hints.h"

#include <set>

#include "support/property.h"

namespace boragedoor::routing {

TEST_CASE("prefix hashes") {
  const std::string prompt(prefix_block_bytes * 3 + 10, 'x');
  SECTION("cover whole blocks, and a common start has common hashes") {
    const auto all = prefix_hashes("m", prompt);
    const auto start = prefix_hashes("m", prompt.substr(0, prefix_block_bytes * 2));
    CHECK(all.size() == 3);
    CHECK(std::equal(start.begin(), start.end(), all.begin()));
  }
  SECTION("differ between models") {
    CHECK(prefix_hashes("m", prompt) != prefix_hashes("n", prompt));
  }
}

TEST_CASE("prefix cache hints") {
  auto hints = prefix_cache_hints::create({.capacity = 8}).value();
  const time_point now{seconds(1000)};
  const std::vector<prefix_hash> prompt{1, 2, 3, 4};

  SECTION("a dispatched prompt is expected to be cached") {
    hints.note_dispatch("e", prompt, now);
    CHECK(hints.expected_share("e", prompt, now) == Approx(1));
    CHECK(hints.expected_share("other", prompt, now) == 0);
    SECTION("less and less as the hint ages") {
      CHECK(hints.expected_share("e", prompt, now + seconds(60)) == Approx(0.5));
    }
    SECTION("only its start after the rest was evicted") {
      hints.apply("e", {5, false, 4}, now);
      hints.apply("e", {6, false, 3}, now);
      CHECK(hints.expected_share("e", prompt, now) == Approx(0.5));
    }
    SECTION("not at all after a crash") {
      hints.forget("e");
      CHECK(hints.expected_share("e", prompt, now) == 0);
    }
    SECTION("with half the confidence after a gap in the events") {
      hints.apply("e", {5, true, 99}, now);
      hints.apply("e", {9, true, 98}, now);
      CHECK(hints.gaps() == 1);
      CHECK(hints.expected_share("e", prompt, now) == Approx(0.5));
    }
  }
  SECTION("a long prefix implies the short ones whose events were lost") {
    hints.apply("e", {1, true, 4}, now);
    CHECK(hints.expected_share("e", prompt, now) == Approx(1));
  }
  SECTION("a late stored event does not undo an eviction") {
    hints.apply("e", {8, false, 4}, now);
    hints.apply("e", {7, true, 4}, now);
    CHECK(hints.expected_share("e", prompt, now) == 0);
  }
  SECTION("memory stays limited and the latest hints stay") {
    for (prefix_hash it = 10; it < 100; ++it) {
      hints.note_dispatch("e", std::vector{it}, now);
    }
    CHECK(hints.size() == 8);
    CHECK(hints.expected_share("e", std::vector<prefix_hash>{99}, now) == Approx(1));
  }
}

TEST_CASE("hints against a plain record of the cache") {
  testing::check_property("without gaps, ageing or a limit, hints equal the cache", [] {
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
      const double share = hints.expected_share("e", std::vector{prefix}, time_point{});
      RC_ASSERT(share == (cached.contains(prefix) ? 1.0 : 0.0));
    }
  });
}

} // namespace boragedoor::routing
