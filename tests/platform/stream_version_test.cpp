#include <chrono>

#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

constexpr duration interval = milliseconds(20);
constexpr int events = 40;
/// Time for an instance to store which version began a stream.
constexpr duration storing_time = seconds(1);

/// A caller's stream: what arrived, and whether the response has ended.
struct stream {
  int status = 0;
  std::string text;
  bool ended = false;
  bool complete = false;
  std::shared_ptr<http1::call> call;
};

/// Opens a stream. With `after` it takes up the stream that the attempt `resumes` began.
std::shared_ptr<stream> open_stream(platform_fixture& it, const serving_process& at,
                                    const std::string& attempt, int after = 0,
                                    const std::string& resumes = {}) {
  auto opened = std::make_shared<stream>();
  http1::call_spec spec;
  spec.target = at.callers_address();
  spec.message = make_request("POST", "/chat/1", attempt, seconds(8), "prompt");
  if (after > 0) {
    spec.message.headers.emplace_back("Last-Event-Id", std::to_string(after));
  }
  if (!resumes.empty()) {
    spec.message.headers.emplace_back("Resumes", resumes);
  }
  spec.new_connection = true;
  http1::call_callbacks callbacks;
  callbacks.on_head = [opened](const http1::response& head) {
    opened->status = head.status;
    return true;
  };
  callbacks.on_data = [opened](std::string_view data) { opened->text += data; };
  callbacks.on_end = [opened](http1::call_outcome outcome, const http1::response&) {
    opened->ended = true;
    opened->complete = outcome == http1::call_outcome::complete;
  };
  opened->call = it.caller.send(std::move(spec), std::move(callbacks));
  return opened;
}

} // namespace

// Guards against a stream whose first part comes from one software version and the rest, after the
// caller took it up again, from another.
TEST_CASE("a stream that a caller takes up again goes on at the software version that began it") {
  platform_fixture it;
  it.engine = it.make_engine("e-1", "v1", interval, events);
  const auto begun = open_stream(it, *it.first, "s1");
  REQUIRE(it.loop->run_until([&] { return begun->text.find("id: 3\n") != std::string::npos; },
                             wait_limit));
  // Without the record of this version, the take-ups below can only be refused.
  it.loop->run_until([&] { return !it.store.keys("boragedoor/streams/").empty(); }, storing_time);
  const auto newer = it.make_engine("e-2", "v2", interval, events);
  const auto remove_older = [&] {
    it.engine->crash();
    it.store.erase("servers/e-1");
    REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("e-1") == nullptr; },
                               wait_limit));
  };
  const auto restart_instances = [&] {
    it.first.reset();
    it.start("first", it.first);
    REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("e-2") != nullptr; },
                               wait_limit));
  };

  SECTION("with both versions in service") {
    SECTION("at the instance that began it") {
      begun->call->cancel();
    }
    SECTION("at another instance") {
      it.start("second", it.second);
      REQUIRE(it.loop->run_until(
          [&] { return it.second->context().endpoints.find("e-2") != nullptr; }, wait_limit));
      begun->call->cancel();
    }
    SECTION("after all instances were killed and came back") {
      restart_instances();
    }
    // The newer engine is the one that a new request would be sent to.
    std::vector<std::shared_ptr<stream>> others;
    const serving_process& at = it.second ? *it.second : *it.first;
    const auto taken_up = open_stream(it, at, "s2", 3, "s1");
    REQUIRE(it.loop->run_until([&] { return taken_up->ended; }, wait_limit));
    CHECK(taken_up->status == 200);
    CHECK(taken_up->complete);
    CHECK(taken_up->text.find("id: 4\ndata: t4\n") == 0);
    CHECK(taken_up->text.find("-v2") == std::string::npos);
    CHECK(newer->continued_ids.empty());

    SECTION("and a further take-up names the first attempt again") {
      const auto again = open_stream(it, at, "s3", 10, "s1");
      REQUIRE(it.loop->run_until([&] { return again->ended; }, wait_limit));
      CHECK(again->status == 200);
      CHECK(again->text.find("id: 11\ndata: t11\n") == 0);
      CHECK(newer->continued_ids.empty());
    }
  }

  SECTION("with only a newer version in service, it is refused") {
    SECTION("at the instance that began it") {
      remove_older();
    }
    SECTION("after all instances were killed and came back") {
      remove_older();
      restart_instances();
    }
    SECTION("after the store has lost connections, too") {
      remove_older();
      restart_instances();
      it.store.set_fault(store_fault::refuse);
    }
    const auto taken_up = open_stream(it, *it.first, "s2", 3, "s1");
    REQUIRE(it.loop->run_until([&] { return taken_up->ended; }, wait_limit));
    CHECK(taken_up->status == 503);
    CHECK(newer->executed_ids.empty());
  }

  SECTION("a take-up of a stream that no instance has begun is refused") {
    const auto unknown = open_stream(it, *it.first, "s2", 3, "s0");
    const auto unnamed = open_stream(it, *it.first, "s3", 3);
    REQUIRE(it.loop->run_until([&] { return unknown->ended && unnamed->ended; }, wait_limit));
    CHECK(unknown->status == 503);
    CHECK(unnamed->status == 503);
    CHECK(newer->executed_ids.empty());
    CHECK(it.engine->continued_ids.empty());
  }
}

// Guards against streams that are joined from two software versions at an instance that was cut off
// or stood still while an endpoint was started again under its id with another version.
TEST_CASE("an instance that does not know an endpoint's new process does not join its streams") {
  platform_fixture it;
  it.engine = it.make_engine("e-1", "v1", interval, events);
  it.start("second", it.second);
  it.engine->reports_start = GENERATE(true, false);
  const auto has_begun = [&](const std::shared_ptr<stream>& one) {
    return it.loop->run_until(
        [&] { return one->text.find("id: 3\n") != std::string::npos || one->ended; }, wait_limit);
  };
  const auto await_record = [&] {
    it.loop->run_until([&] { return !it.store.keys("boragedoor/streams/").empty(); }, storing_time);
  };

  SECTION("when a stream is taken up there") {
    const auto begun = open_stream(it, *it.first, "s1");
    REQUIRE(has_begun(begun));
    await_record();
    it.restart_engine_behind(*it.second, "v2");
    const auto taken_up = open_stream(it, *it.second, "s2", 3, "s1");
    REQUIRE(it.loop->run_until([&] { return taken_up->ended; }, wait_limit));
    CHECK(taken_up->status == 502);
    CHECK(taken_up->text.find("id: ") == std::string::npos);
    // The endpoint gets no further ones until its entry changes.
    const auto again = open_stream(it, *it.second, "s3", 3, "s1");
    REQUIRE(it.loop->run_until([&] { return again->ended; }, wait_limit));
    CHECK(again->status == 503);
    CHECK(it.engine->executed_ids.size() == 2);
  }

  SECTION("when a stream began there") {
    it.restart_engine_behind(*it.second, "v2");
    const auto begun = open_stream(it, *it.second, "s1");
    REQUIRE(has_begun(begun));
    REQUIRE(begun->status == 200);
    await_record();
    const auto older = it.make_engine("e-2", "v1", interval, events);
    begun->call->cancel();
    for (serving_process* at : {it.first.get(), it.second.get()}) {
      const auto taken_up = open_stream(it, *at, "s2", 3, "s1");
      REQUIRE(it.loop->run_until([&] { return taken_up->ended; }, wait_limit));
      CHECK(taken_up->status == 503);
    }
    CHECK(older->executed_ids.empty());
  }

  SECTION("a stream whose endpoint is as it was known is taken up there") {
    const auto begun = open_stream(it, *it.first, "s1");
    REQUIRE(has_begun(begun));
    await_record();
    begun->call->cancel();
    const auto taken_up = open_stream(it, *it.second, "s2", 3, "s1");
    REQUIRE(it.loop->run_until([&] { return taken_up->ended; }, wait_limit));
    CHECK(taken_up->status == 200);
    CHECK(taken_up->complete);
    CHECK(taken_up->text.find("id: 4\ndata: t4\n") == 0);
    CHECK(taken_up->text.find("id: 40\n") != std::string::npos);
  }
}

} // namespace boragedoor::platform
