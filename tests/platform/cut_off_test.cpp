#include <chrono>

#include "endpoint_links.h"
#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// Time after the links are cut from which requests must be served again.
constexpr duration detection_time = seconds(3);

/// Two instances, three replicas of a plain service and an engine. The links of the first instance
/// to them can be cut.
struct cut_off_fixture : platform_fixture {
  explicit cut_off_fixture(int replicas = 3) {
    start("second", second);
    for (int n = 2; n <= replicas; ++n) {
      others.push_back(std::make_unique<replica_stand_in>(
          *loop, store,
          replica_stand_in::options{.id = "p-" + std::to_string(n), .service = "plain"}));
    }
    start_engine(milliseconds(5), 20);
    REQUIRE(loop->run_until(
        [&] {
          return first->context().endpoints.available_count("plain") == replicas &&
                 second->context().endpoints.available_count("plain") == replicas &&
                 first->members().members().all().size() == 2;
        },
        wait_limit));
    links = put_links_before(*loop, first->context().endpoints);
  }

  void set_links(link_state state) { platform::set_links(links, state); }

  /// Number of times that replicas began to execute an attempt.
  std::size_t executions(const std::string& id) const {
    const auto count = [&](const replica_stand_in& it) {
      return static_cast<std::size_t>(
          std::count(it.executed_ids.begin(), it.executed_ids.end(), id));
    };
    std::size_t n = count(*plain) + count(*engine);
    for (const auto& it : others) {
      n += count(*it);
    }
    return n;
  }

  std::vector<std::unique_ptr<replica_stand_in>> others;
  std::vector<std::unique_ptr<link_stand_in>> links;
};

} // namespace

// Guards against an instance that has lost its links to all endpoints refusing the requests of
// callers and the items of jobs that other instances could bring to the endpoints.
TEST_CASE("an instance without links to the endpoints serves its callers through another one") {
  cut_off_fixture it;
  CHECK(it.call(*it.first, "POST", "/plans/7", "body").status == 200);

  const auto check_service = [&] {
    constexpr int requests = 12;
    for (int n = 0; n < requests; ++n) {
      const std::string id = "r" + std::to_string(n);
      const auto plain = it.call(*it.first, "POST", "/plans/7?x=1", "body", "key-n", id);
      CHECK(plain.status == 200);
      CHECK(plain.body == "answer to " + id);
      CHECK(net::find_header(plain.headers, "Response-Signature") == "sig-" + id);
      // The route allows two attempts, and a look-up without a response is sent a second time.
      CHECK(it.executions(id) <= 2);
    }
    const auto stream = it.call(*it.first, "POST", "/chat/1", "prompt", "key-n", "s1");
    CHECK(stream.status == 200);
    CHECK(it.executions("s1") == 1);
    CHECK(stream.body.find("id: 20\n") != std::string::npos);
    CHECK(it.call(*it.first, "POST", "/jobs/x", to_text(make_job()), "key-n", "job-1").status ==
          202);
    for (const auto& [id, result] : it.read_all(*it.first, "job-1")) {
      CHECK(result["state"] == "done");
    }
  };

  for (const auto state : {link_state::refusing, link_state::resetting, link_state::hanging}) {
    DYNAMIC_SECTION("with state " << static_cast<int>(state) << " of the links") {
      it.set_links(state);
      SECTION("from three seconds after the cut, with requests all the while") {
        const time_point end = it.loop->now() + detection_time;
        while (it.loop->now() < end) {
          it.call(*it.first, "POST", "/plans/7", "body");
          it.loop->run_until([] { return false; }, milliseconds(300));
        }
        check_service();
        SECTION("and by itself as soon as the links are back") {
          it.set_links(link_state::open);
          it.loop->run_until([] { return false; }, seconds(1));
          it.second.reset();
          CHECK(it.call(*it.first, "POST", "/plans/7", "body").status == 200);
        }
      }
      SECTION("and does not take a caller's headers for those of an instance") {
        const auto answer =
            it.exchange(it.first->callers_address(), {"POST",
                                                      "/plans/7",
                                                      {{"Host", "a.example"},
                                                       {"Attempt-Id", "h1"},
                                                       {"Authorization", "Bearer key-n"},
                                                       {"Boragedoor-Endpoint", "e-1"},
                                                       {"Boragedoor-Check", "1"}},
                                                      "body"});
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to h1");
      }
      SECTION("and ends the run of a caller that leaves") {
        it.engine = it.make_engine("e-2", "v1", milliseconds(20), 1000);
        const auto call = it.send(
            *it.first, "POST", "/chat/1", "s2", [](const auto&) {}, "prompt");
        REQUIRE(it.loop->run_until([&] { return it.engine->open() > 0; }, wait_limit));
        call->cancel();
        CHECK(it.loop->run_until([&] { return it.engine->open() == 0; }, wait_limit));
      }
      SECTION("and hands the duties to it, which orders the endpoints") {
        REQUIRE(it.first->members().permit(it.loop->now()));
        CHECK(it.call(*it.first, "POST", "/plans/7", "body").status == 200);
        REQUIRE(it.loop->run_until(
            [&] { return it.second->members().permit(it.loop->now()).has_value(); }, wait_limit));
        CHECK_FALSE(it.first->members().permit(it.loop->now()));
        it.store.put("op/version/m", {{"model", "m"}, {"version", 2}});
        REQUIRE(it.loop->run_until([&] { return it.engine->version() == 2; }, wait_limit));
      }
      SECTION("from the first request on, with none before") {
        it.loop->run_until([] { return false; }, detection_time);
        check_service();
      }
    }
  }
}

// Guards against the count of crashes starting again on the way through another instance.
TEST_CASE("a request that crashes endpoints is held by an instance without links to them") {
  constexpr int replicas = 5;
  constexpr int repetitions = 4;
  const std::string target = "/plans/crash";
  cut_off_fixture it(replicas);
  const auto prepare = [&](replica_stand_in& one) {
    one.crashing_target = target;
    one.restarts = false;
  };
  prepare(*it.plain);
  for (const auto& one : it.others) {
    prepare(*one);
  }
  it.set_links(link_state::refusing);
  const auto send = [&](const std::string& id) {
    return it.call(*it.first, "POST", target, "body that crashes", "key-n", id).status;
  };
  // Two attempts each, so that at least three endpoints crash and at least one is left.
  CHECK(send("x1") == 502);
  CHECK(send("x2") == 502);
  it.loop->run_until([] { return false; }, detection_time);
  for (int n = 0; n < repetitions; ++n) {
    const std::string id = "y" + std::to_string(n);
    CHECK(send(id) == 503);
    CHECK(it.executions(id) == 0);
  }
  CHECK(it.call(*it.first, "POST", "/plans/7", "body").status == 200);
}

// Guards against requests that break off at an instance without links to the endpoints because the
// instance that forwards them is stopped.
TEST_CASE("an instance that stops finishes the requests that it forwards for another one") {
  cut_off_fixture it;
  it.set_links(link_state::refusing);
  it.loop->run_until([] { return false; }, detection_time);
  // Longer than an idle process takes to stop.
  it.engine = it.make_engine("e-2", "v1", milliseconds(100), 40);
  std::optional<http1::response> stream;
  it.send(
      *it.first, "POST", "/chat/1", "s1", [&](const http1::response& out) { stream = out; },
      "prompt");
  REQUIRE(it.loop->run_until([&] { return it.engine->open() > 0; }, wait_limit));
  it.second->drain();

  SECTION("and takes no further ones") {
    const auto answer = it.exchange(it.second->relay_address(), {"POST",
                                                                 "/plans/7",
                                                                 {{"Host", "a.example"},
                                                                  {"Attempt-Id", "late"},
                                                                  {"Boragedoor-Endpoint", "p-1"},
                                                                  {"Boragedoor-Attempt", "late"}},
                                                                 "body"});
    // The other instance tries the next one.
    CHECK(net::find_header(answer.headers, "Boragedoor-Outcome") == "cut_off");
    CHECK(it.executions("late") == 0);
  }

  REQUIRE(it.loop->run_until([&] { return it.second->is_stopped(); }, wait_limit));
  it.second.reset();
  REQUIRE(it.loop->run_until([&] { return stream.has_value(); }, wait_limit));
  CHECK(stream->status == 200);
  CHECK(stream->body.find("id: 40\n") != std::string::npos);
}

} // namespace boragedoor::platform
