#include "requests/stream_relay.h"

#include <set>

#include "support/fault_store.h"
#include "support/property.h"

namespace boragedoor::requests {

TEST_CASE("stream_relay continues a stream on another endpoint") {
  stream_relay relay = stream_relay::create(10);
  REQUIRE(relay.begin_attempt({}, "a"));
  CHECK(relay.add_frame({}, {"a", 0, "one ", 5})->index == 0);
  CHECK_FALSE(relay.add_frame({}, {"a", 0, "one ", 5}));
  const auto next = relay.begin_attempt({}, "b");
  REQUIRE(next);
  CHECK(next.value().text == "one ");
  CHECK(next.value().remaining_tokens == 9);
  SECTION("frames and end marker of the previous attempt are ignored") {
    CHECK_FALSE(relay.add_frame({}, {"a", 1, "two", 5}));
    CHECK_FALSE(relay.finish({}, "a", 1));
  }
  SECTION("weight versions and frame numbers continue across attempts") {
    CHECK(relay.add_frame({}, {"b", 0, "two", 6})->index == 1);
    CHECK(relay.finish({}, "b", 1));
    CHECK(relay.text() == "one two");
    CHECK(relay.weight_versions() == std::vector<std::uint64_t>{5, 6});
    CHECK_FALSE(relay.begin_attempt({}, "c"));
  }
  SECTION("a stream with missing frames is not complete") {
    CHECK_FALSE(relay.finish({}, "b", 1));
    CHECK_FALSE(relay.complete());
  }
}

TEST_CASE("stream_relay neither loses nor duplicates a token") {
  testing::fault_counts counts;
  testing::check_property("continuing a stream over any number of endpoints", [&] {
    random_engine random(
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed"));
    ++counts.schedules;
    const std::uint64_t tokens = 1 + testing::pick(random, 60);
    stream_relay relay = stream_relay::create(tokens);
    std::string expected_text;
    std::set<std::uint64_t> versions;
    std::vector<stream_frame> sent_frames;
    std::uint64_t attempt = 0;
    while (!relay.complete()) {
      const std::string id = "a" + std::to_string(++attempt);
      const auto from = relay.begin_attempt({}, id).value();
      RC_ASSERT(from.text == expected_text);
      RC_ASSERT(from.remaining_tokens == tokens - relay.frames());
      for (std::uint64_t n = 0; n < from.remaining_tokens && testing::pick(random, 15) != 0; ++n) {
        ++counts.steps;
        const stream_frame frame{id, n, std::to_string(relay.frames()) + " ",
                                 testing::pick(random, 9)};
        const auto relayed = relay.add_frame({}, frame);
        RC_ASSERT(relayed.has_value());
        RC_ASSERT(relayed->index + 1 == relay.frames());
        expected_text += frame.text;
        versions.insert(frame.weight_version);
        sent_frames.push_back(frame);
        counts.count("repeated frames");
        RC_ASSERT(!relay.add_frame({}, sent_frames[testing::pick(random, sent_frames.size())]));
      }
      const std::uint64_t sent = relay.frames() - (tokens - from.remaining_tokens);
      RC_ASSERT(!relay.finish({}, id, sent + 1));
      if (relay.frames() == tokens) {
        RC_ASSERT(relay.finish({}, id, sent).has_value());
      }
      counts.count("interrupted attempts", relay.complete() ? 0 : 1);
    }
    RC_ASSERT(relay.text() == expected_text);
    RC_ASSERT(std::set<std::uint64_t>(relay.weight_versions().begin(),
                                      relay.weight_versions().end()) == versions);
  });
  counts.print("streams");
}

} // namespace boragedoor::requests
