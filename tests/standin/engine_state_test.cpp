#include "standin/engine_state.h"

#include <catch2/catch.hpp>

namespace boragedoor::standin {

namespace {

constexpr time_point start{std::chrono::hours(1)};
constexpr time_point much_later = start + std::chrono::hours(1);

template <class Event>
std::vector<Event> only(const std::vector<engine_event>& events) {
  std::vector<Event> found;
  for (const auto& it : events) {
    if (const auto* event = std::get_if<Event>(&it)) {
      found.push_back(*event);
    }
  }
  return found;
}

std::string text_of(const std::vector<engine_event>& events) {
  std::string text;
  for (const auto& it : only<token_made>(events)) {
    text += it.text;
  }
  return text;
}

engine_settings plain_settings() {
  engine_settings it;
  it.max_batch = 2;
  it.tokens_per_second = 100;
  it.token_interval = milliseconds(10);
  it.load_lag = duration::zero();
  it.swap_time = seconds(1);
  it.cache_events = {};
  return it;
}

engine_request asking(const std::string& prompt, std::int64_t priority = 0) {
  engine_request it;
  it.prompt = prompt;
  it.max_tokens = 1000;
  it.priority = priority;
  return it;
}

} // namespace

TEST_CASE("the text of an engine") {
  engine_state engine(plain_settings());
  engine_request request = asking("plan for bridge 4 length=12");
  request.seed = 7;
  engine.submit(request, start);
  const auto events = engine.advance(much_later);
  const std::string text = text_of(events);
  REQUIRE(only<token_made>(events).size() == 12);
  CHECK(only<request_finished>(events).at(0).finish_reason == "stop");

  SECTION("is the same on another engine") {
    engine_state other(plain_settings());
    other.submit(request, start);
    CHECK(text_of(other.advance(much_later)) == text);
  }

  SECTION("differs with the seed") {
    request.seed = 8;
    engine.submit(request, start);
    CHECK(text_of(engine.advance(much_later)) != text);
  }

  SECTION("stops at the caller's bound") {
    request.max_tokens = 5;
    engine.submit(request, start);
    const auto cut = engine.advance(much_later);
    CHECK(text.starts_with(text_of(cut)));
    CHECK(only<token_made>(cut).size() == 5);
    CHECK(only<request_finished>(cut).at(0).finish_reason == "length");
  }

  SECTION("goes on exactly where a resumed text ends, in the middle of a word too") {
    for (std::size_t n = 0; n <= text.size(); ++n) {
      request.resume_text = text.substr(0, n);
      engine.submit(request, start);
      const auto rest = engine.advance(much_later);
      CHECK(request.resume_text + text_of(rest) == text);
      CHECK(only<request_finished>(rest).at(0).finish_reason == "stop");
    }
  }

  SECTION("has a natural length that depends on the seed, with some stragglers") {
    std::set<std::int64_t> lengths;
    for (std::uint64_t seed = 0; seed < 256; ++seed) {
      lengths.insert(generated_text("free", seed).natural_length());
    }
    CHECK(lengths.size() > 50);
    CHECK(*lengths.rbegin() > 200);
  }
}

TEST_CASE("the scheduling of an engine") {
  engine_state engine(plain_settings());

  SECTION("running requests share the token rate") {
    engine.submit(asking("a length=100"), start);
    engine.submit(asking("b length=100"), start);
    // 100 tokens a second over two requests make 50 for each.
    const auto events = engine.advance(start + seconds(1));
    const auto n = only<token_made>(events).size();
    CHECK(n > 80);
    CHECK(n <= 102);
  }

  SECTION("a full batch makes others wait, and the most urgent leaves the queue first") {
    engine.submit(asking("a length=10"), start);
    engine.submit(asking("b length=10"), start);
    const auto low = engine.submit(asking("c length=10", 1), start);
    const auto high = engine.submit(asking("d length=10", 2), start);
    CHECK(engine.load(start).running == 2);
    CHECK(engine.load(start).queued == 2);
    const auto begun = only<request_started>(engine.advance(much_later));
    REQUIRE(begun.size() == 4);
    CHECK(begun[2].id == high);
    CHECK(begun[3].id == low);
  }

  SECTION("a cancelled request makes room") {
    const auto first = engine.submit(asking("a length=10"), start);
    engine.submit(asking("b length=10"), start);
    engine.submit(asking("c length=10"), start);
    engine.cancel(first, start);
    CHECK(engine.load(start).queued == 0);
    CHECK(only<request_finished>(engine.advance(much_later)).size() == 2);
  }

  SECTION("a version swap in mid-answer pauses it, and the answer names both versions") {
    engine.submit(asking("a length=20"), start);
    const auto before = only<token_made>(engine.advance(start + milliseconds(100)));
    REQUIRE_FALSE(before.empty());
    engine.start_swap("order-1", 2, false, start + milliseconds(100));
    CHECK(only<token_made>(engine.advance(start + milliseconds(1099))).empty());
    const auto after = engine.advance(much_later);
    CHECK(only<swap_finished>(after).at(0).applied);
    CHECK(only<token_made>(after).front().weight_version == 2);
    CHECK(before.size() + only<token_made>(after).size() == 20);
    CHECK(only<request_finished>(after).at(0).weight_versions == std::vector<std::int64_t>{1, 2});
  }

  SECTION("a failed swap leaves the version as it was, and the next one still runs") {
    engine.start_swap("order-1", 2, true, start);
    engine.start_swap("order-2", 3, false, start);
    const auto first = only<swap_finished>(engine.advance(start + seconds(1)));
    REQUIRE(first.size() == 1);
    CHECK_FALSE(first[0].applied);
    CHECK(engine.load(start + seconds(1)).weight_version == 1);
    CHECK(only<swap_finished>(engine.advance(much_later)).at(0).applied);
    CHECK(engine.load(much_later).weight_version == 3);
  }

  SECTION("a crash loses requests, versions and adapters") {
    engine.submit(asking("a length=10"), start);
    engine.load_adapter("night");
    engine.start_swap("order-1", 2, false, start);
    engine.crash(start);
    CHECK(engine.advance(much_later).empty());
    CHECK(engine.load(much_later).running == 0);
    CHECK(engine.load(much_later).weight_version == 1);
    CHECK_FALSE(engine.has_adapter("night"));
  }
}

TEST_CASE("load reports show the past") {
  engine_settings settings = plain_settings();
  settings.load_lag = milliseconds(100);
  engine_state engine(settings);
  engine.set_role("decode", start);
  engine.submit(asking("a length=10"), start + milliseconds(500));
  CHECK(engine.load(start + milliseconds(599)).running == 0);
  CHECK(engine.load(start + milliseconds(600)).running == 1);
  CHECK(engine.load(start + milliseconds(600)).as_of == start + milliseconds(500));
  CHECK(engine.load(start + milliseconds(600)).role == "decode");
}

TEST_CASE("the prefix cache of an engine") {
  engine_settings settings = plain_settings();
  settings.prompt_tokens_per_second = 16;
  engine_state engine(settings);
  const std::string prefix(prefix_cache::block_bytes * 4, 'p');

  SECTION("shortens the prompt phase of a prompt that begins the same") {
    engine.submit(asking(prefix + " one length=1"), start);
    const auto first = engine.next_due();
    CHECK(first > start + seconds(4));
    engine.advance(much_later);
    engine.submit(asking(prefix + " two length=1"), much_later);
    CHECK(engine.next_due() < much_later + seconds(1));
    const auto events = engine.advance(much_later + seconds(10));
    CHECK(only<request_finished>(events).at(0).cached_tokens == 4 * prefix_cache::block_tokens);
  }

  SECTION("gives up the blocks unused for longest when memory is short") {
    prefix_cache cache({});
    cache.use(prefix, start);
    cache.use(std::string(prefix_cache::block_bytes, 'q'), start);
    cache.shrink(2 * prefix_cache::block_tokens, start);
    CHECK(cache.use(std::string(prefix_cache::block_bytes, 'q'), start) ==
          prefix_cache::block_tokens);
    CHECK(cache.use(prefix, start) == prefix_cache::block_tokens);
  }

  SECTION("publishes events late and with gaps") {
    prefix_cache cache({milliseconds(50), 2});
    cache.use(prefix, start);
    CHECK(cache.events_after(0, start + milliseconds(49))["events"].empty());
    const json events = cache.events_after(0, start + milliseconds(50))["events"];
    REQUIRE(events.size() == 2);
    CHECK(events[0]["sequence"] == 1);
    CHECK(events[1]["sequence"] == 3);
    CHECK(cache.events_after(1, start + milliseconds(50))["events"].size() == 1);
  }

  SECTION("moves to another engine by export and import") {
    prefix_cache from({});
    prefix_cache to({});
    from.use(prefix, start);
    const json chain = from.export_chain(prefix_cache::block_hashes(prefix).back());
    CHECK(to.import_chain(chain, start) == 4);
    CHECK(to.use(prefix, start) == 4 * prefix_cache::block_tokens);
    CHECK(from.export_chain("unknown").is_null());
  }
}

} // namespace boragedoor::standin
