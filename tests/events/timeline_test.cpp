#include "events/timeline.h"

#include <algorithm>
#include <map>

#include "events/explain.h"
#include "events/timeline_svg.h"
#include "support/property.h"

namespace boragedoor::events {

namespace {

/// Makes events of processes whose wall clocks are off by a given time.
class recorder {
public:
  std::string record(const std::string& instance, event_number number, duration at,
                     const std::string& cause = {}) {
    event it;
    it.number = number;
    it.instance = instance;
    it.boot = "b";
    it.sequence = ++sequences_[instance];
    it.monotonic = time_point(at);
    it.wall = wall_time(at + clock_error[instance]);
    it.request = "r1";
    it.endpoint = "e1";
    it.shard = "dc/mill";
    it.cause = cause;
    events.push_back(it);
    return event_id(it);
  }

  std::vector<event> events;
  std::map<std::string, duration> clock_error;

private:
  std::map<std::string, std::uint64_t> sequences_;
};

std::vector<std::string> ids(const timeline& it) {
  std::vector<std::string> list;
  for (const auto& entry : it.entries) {
    list.push_back(event_id(entry.what));
  }
  return list;
}

using lines = std::vector<std::string>;
using enum event_number;

/// Places of the events of a timeline by id.
std::map<std::string, std::size_t> places(const timeline& it) {
  std::map<std::string, std::size_t> map;
  for (std::size_t n = 0; n < it.entries.size(); ++n) {
    map[event_id(it.entries[n].what)] = n;
  }
  return map;
}

} // namespace

TEST_CASE("the timeline of a takeover with a clock that is an hour slow") {
  recorder log;
  log.clock_error["i2"] = -std::chrono::hours(1);
  log.record("i1", lease_acquired, seconds(1));
  const auto order = log.record("i1", order_sent, seconds(2));
  const auto lost = log.record("i1", lease_lost, seconds(5));
  const auto taken = log.record("i2", lease_acquired, seconds(6), lost);
  log.record("i2", takeover_waiting, seconds(6));
  const auto answer = log.record("i1", lease_released, seconds(7), taken);
  log.record("i2", takeover_cleared, seconds(8), answer);
  log.record("i2", order_sent, seconds(9), order);
  std::ranges::reverse(log.events);
  const auto merged = merge_events(log.events);

  SECTION("follows causes and sequences, not the clocks") {
    CHECK(ids(merged) ==
          lines{"i1/b/1", "i1/b/2", "i1/b/3", "i2/b/1", "i2/b/2", "i1/b/4", "i2/b/3", "i2/b/4"});
    CHECK(merged.contradicting_causes == 0);
    CHECK(merged.entries.at(3).cause == 2);
  }
  SECTION("estimates the offset from messages in both directions") {
    // Both messages took a second, so the middle of the bounds is exact.
    const auto& process = merged.processes.at(0).offset == duration::zero()
                              ? merged.processes.at(1)
                              : merged.processes.at(0);
    CHECK(std::chrono::abs(process.offset) == std::chrono::hours(1));
    CHECK(process.is_linked);
  }
  SECTION("is explained in a few lines") {
    const auto story = explain_shard(merged, "dc/mill");
    REQUIRE(story.size() == 8);
    CHECK(story.at(2).ends_with("i2 acquired the shard, 1000 ms after the former holder's end."));
    CHECK(story.at(5).ends_with("after waiting 2000 ms."));
    CHECK(story.at(7) == "i2/b sent 1 order.");
  }
  SECTION("warns when a former holder sends an order after its successor started") {
    log.record("i1", order_sent, seconds(10), taken);
    const auto story = explain_shard(merge_events(log.events), "dc/mill");
    CHECK(std::ranges::any_of(story, [](const std::string& line) {
      return line.find("sent an order although i2/b had acquired") != std::string::npos;
    }));
  }
  SECTION("can be filtered, and positions of causes follow") {
    event_filter filter;
    filter.since = merged.entries.at(2).at;
    const auto kept = apply_filter(merged, filter);
    CHECK(kept.entries.size() == 6);
    CHECK(kept.entries.at(1).cause == 0);
    CHECK_FALSE(kept.entries.back().cause);
    filter.shard = "dc/x";
    CHECK(apply_filter(merged, filter).entries.empty());
  }
  SECTION("is drawn with an arrow for each cause") {
    const std::string svg = to_svg(merged);
    const std::string arrow = "marker-end=";
    std::size_t n = 0;
    for (auto at = svg.find(arrow); at != std::string::npos; at = svg.find(arrow, at + 1)) {
      ++n;
    }
    CHECK(n == 4);
    CHECK(svg.find("8 of 8 events") != std::string::npos);
  }
}

TEST_CASE("a request is explained from its first event to its end") {
  recorder log;
  log.record("i1", request_accepted, seconds(1));
  log.record("i1", attempt_started, seconds(2));
  log.record("i1", attempt_failed, seconds(3));
  log.events.back().details = {{"reason", "connection closed"}};
  log.record("i1", attempt_started, seconds(4));
  CHECK(explain_request(merge_events(log.events), "r1").back().starts_with("No end"));

  log.record("i1", request_finished, seconds(5));
  const auto story = explain_request(merge_events(log.events), "r1");
  REQUIRE(story.size() == 6);
  CHECK(story.at(3) ==
        "The attempt at endpoint e1 failed after 2000 ms; reason=connection closed.");
  CHECK(story.at(4) == "Attempt 2 went to endpoint e1 after 3000 ms.");
  CHECK(story.at(5) == "The whole answer was sent after 4000 ms.");
  CHECK(explain_request(merge_events(log.events), "r2").empty());
}

TEST_CASE("incomplete and contradictory events are counted, not lost") {
  recorder log;
  const auto first = log.record("i1", order_sent, seconds(1));
  log.record("i1", order_sent, seconds(2));
  log.record("i1", order_sent, seconds(3), "gone/b/7");

  SECTION("copies from two sources, gaps and unknown causes") {
    auto events = log.events;
    events.insert(events.end(), log.events.begin(), log.events.end());
    events.push_back(log.events.front());
    events.back().shard = "other";
    std::erase_if(events, [](const event& it) { return it.sequence == 2; });
    const auto merged = merge_events(events);
    CHECK(merged.entries.size() == 2);
    CHECK(merged.copies == 2);
    CHECK(merged.conflicting == 1);
    CHECK(merged.processes.front().missing == 1);
    CHECK(merged.unknown_causes == 1);
  }
  SECTION("causes that form a cycle, without harm to other causes") {
    log.events.at(0).cause = "i2/b/2";
    log.record("i2", lease_lost, seconds(1), "i1/b/2");
    const auto effect = log.record("i2", lease_lost, seconds(1));
    log.record("i3", lease_lost, seconds(0), effect);
    const auto merged = merge_events(log.events);
    CHECK(merged.entries.size() == 6);
    CHECK(merged.contradicting_causes == 1);
    auto place = places(merged);
    CHECK(place["i3/b/1"] > place[effect]);
  }
  SECTION("malformed lines") {
    event_batch batch;
    read_events(to_text(to_json(log.events.at(0))) + "\n\n{\"number\": 1}\nx\n", "a.jsonl", batch);
    CHECK(batch.events.size() == 1);
    CHECK(batch.malformed_lines == 2);
    REQUIRE(batch.problems.size() == 2);
    CHECK(batch.problems.at(0).line == 3);
  }
  SECTION("values that would overflow or wrap around") {
    for (const auto& [field, value] : std::map<std::string, json>{
             {"number", 4294968297}, {"sequence", -1}, {"wall_us", INT64_MAX}, {"details", 5}}) {
      json it = to_json(log.events.at(0));
      it[field] = value;
      CHECK_FALSE(event_from_json(it));
    }
  }
  SECTION("markup in names cannot break the picture") {
    log.events.front().instance = "<script>\"&\n";
    CHECK(to_svg(merge_events(log.events)).find("<script>") == std::string::npos);
  }
}

TEST_CASE("the order respects causes whatever the clocks say") {
  testing::check_property("random executions", [] {
    recorder log;
    const std::vector<std::string> names = {"i1", "i2", "i3", "i4"};
    for (const auto& name : names) {
      log.clock_error[name] = seconds(*rc::gen::inRange(-36000, 36000));
    }
    const int n = *rc::gen::inRange(1, 60);
    std::vector<std::string> recorded = {""};
    for (int i = 0; i < n; ++i) {
      // A cause is any earlier event or none; true time goes on by 1 ms with each event.
      const auto cause = *rc::gen::elementOf(recorded);
      recorded.push_back(
          log.record(*rc::gen::elementOf(names), order_sent, milliseconds(i), cause));
    }
    auto events = log.events;
    std::shuffle(events.begin(), events.end(), std::mt19937_64(static_cast<std::uint64_t>(n)));
    const auto merged = merge_events(events);
    RC_ASSERT(merged.entries.size() == log.events.size());
    RC_ASSERT(merged.contradicting_causes == 0U);
    auto place = places(merged);
    std::map<std::string, std::size_t> last;
    for (const auto& it : log.events) {
      const auto at = place[event_id(it)];
      const bool after_cause = it.cause.empty() || place[it.cause] < at;
      const bool after_former = it.sequence == 1U || last[it.instance] < at;
      RC_ASSERT(after_cause);
      RC_ASSERT(after_former);
      last[it.instance] = at;
    }
  });
}

} // namespace boragedoor::events
