#include <chrono>

#include "duties/member_table.h"
#include "http1/raw_peer.h"
#include "jobs/job_documents.h"
#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// What a caller gets for one request.
struct caller_result {
  bool ended = false;
  http1::call_outcome outcome = http1::call_outcome::broken;
  http1::response response;

  [[nodiscard]] bool is_complete() const {
    return ended && outcome == http1::call_outcome::complete;
  }
};

/// An instance that is stopped while callers send requests. It ends as a process does: all its
/// connections are closed when it has stopped.
struct stop_fixture : platform_fixture {
  static constexpr duration grace = seconds(6);

  stop_fixture() : platform_fixture(grace) {
    json configuration = make_configuration(4);
    configuration["routes"].push_back({{"name", "tune"},
                                       {"host", "a.example"},
                                       {"prefix", "/tune/"},
                                       {"kind", "unsafe"},
                                       {"timeout_ms", 10000},
                                       {"target_latency_ms", 500},
                                       {"max_attempts", 1},
                                       {"service", "plain"}});
    store.put("op/config", configuration);
    REQUIRE(loop->run_until([&] { return first->context().routes.version() == 4; }, wait_limit));
  }

  /// Sends a request on a connection whose bytes the test reads.
  std::unique_ptr<http1::raw_connection> send_raw(const std::string& target,
                                                  const std::string& id) {
    auto connection = http1::connect_raw(*loop, callers_address);
    connection->send("POST " + target + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
                     "\r\nAuthorization: Bearer key-n\r\nContent-Length: 0\r\n\r\n");
    return connection;
  }

  std::shared_ptr<caller_result> open(const std::string& target, const std::string& id,
                                      duration deadline, const net::headers& more = {},
                                      const std::string& method = "POST",
                                      const std::string& body = "body") {
    auto out = std::make_shared<caller_result>();
    http1::call_spec spec;
    spec.target = callers_address;
    spec.message = make_request(method, target, id, deadline, body);
    spec.message.headers.insert(spec.message.headers.end(), more.begin(), more.end());
    spec.new_connection = true;
    spec.progress_timeout = wait_limit;
    http1::call_callbacks callbacks;
    callbacks.on_end = [out](http1::call_outcome outcome, http1::response it) {
      *out = {true, outcome, std::move(it)};
    };
    caller.send(std::move(spec), std::move(callbacks));
    return out;
  }

  void stop() {
    first->drain();
    stopped_at = loop->now();
  }

  /// Runs the loop until `after` has passed since the instance was told to stop.
  void wait_until(duration after) {
    loop->run_until([&] { return loop->now() - stopped_at >= after; }, wait_limit);
  }

  /// Waits until the instance ends, or until it is killed at the end of its grace period. Its
  /// connections are closed then.
  void end_process() {
    loop->run_until([&] { return first->is_stopped() || loop->now() - stopped_at >= grace; },
                    wait_limit);
    first.reset();
  }

  void await_end(const std::shared_ptr<caller_result>& it) {
    REQUIRE(loop->run_until([&] { return it->ended; }, wait_limit));
  }

  [[nodiscard]] bool has_run(const std::string& id) const {
    return std::find(plain->executed_ids.begin(), plain->executed_ids.end(), id) !=
           plain->executed_ids.end();
  }

  net::address callers_address = first->callers_address();
  time_point stopped_at{};
};

} // namespace

// Guards against requests that arrive late in a stop, are passed on and get no response because the
// process ends before the endpoint has responded.
TEST_CASE("a request that arrives late in a stop is answered before the process ends") {
  stop_fixture it;
  it.plain->work = seconds(4);
  // Keeps the process running until the late request arrives.
  const auto early = it.open("/tune/x", "early", seconds(9));
  REQUIRE(it.loop->run_until([&] { return it.has_run("early"); }, wait_limit));
  it.stop();

  SECTION("one that may take longer than the process has left is refused at once") {
    it.wait_until(milliseconds(2600));
    const auto late = it.open("/tune/x", "late", seconds(9));
    REQUIRE(it.loop->run_until([&] { return late->ended || early->ended; }, wait_limit));
    CHECK_FALSE(early->ended);
    it.end_process();
    it.await_end(late);
    REQUIRE(late->is_complete());
    CHECK(late->response.status == 503);
    CHECK(net::find_header(late->response.headers, "Retry-After") == "0.000");
    CHECK(net::find_header(late->response.headers, "Connection") == "close");
    CHECK_FALSE(it.has_run("late"));
  }

  SECTION("one whose caller waits no longer than the process runs is served") {
    it.wait_until(milliseconds(2600));
    it.plain->work = milliseconds(400);
    const auto late = it.open("/tune/x", "late", milliseconds(800));
    it.end_process();
    it.await_end(late);
    REQUIRE(late->is_complete());
    CHECK(late->response.status == 200);
  }

  SECTION("one that may be repeated and usually takes little time is served") {
    it.wait_until(milliseconds(2600));
    it.plain->work = milliseconds(20);
    const auto late = it.open("/plans/7", "late", seconds(9));
    it.end_process();
    it.await_end(late);
    REQUIRE(late->is_complete());
    CHECK(late->response.status == 200);
  }

  SECTION("also when the process is told to stop again, and to read its settings") {
    it.wait_until(milliseconds(2600));
    it.first->drain();
    it.first->reload();
    const auto late = it.open("/tune/x", "late", seconds(9));
    it.end_process();
    it.await_end(late);
    REQUIRE(late->is_complete());
    CHECK(late->response.status == 503);
    CHECK_FALSE(it.has_run("late"));
  }

  it.await_end(early);
  CHECK(early->is_complete());
  CHECK(early->response.status == 200);
}

// Guards against connections that close without a response because their requests are still open
// when the process ends.
TEST_CASE("a request that is still open at the end of a stop gets a response") {
  stop_fixture it;
  it.plain->work = wait_limit;
  const auto once = it.open("/tune/x", "once", seconds(9));
  REQUIRE(it.loop->run_until([&] { return it.has_run("once"); }, wait_limit));

  SECTION("whose outcome is unknown, if an endpoint runs it") {
    it.stop();
    // Its route says that it takes half a second, so it is taken.
    it.wait_until(seconds(3));
    const auto look_up = it.open("/plans/7", "look-up", seconds(9));
    it.end_process();
    for (const auto& open : {once, look_up}) {
      it.await_end(open);
      REQUIRE(open->is_complete());
      CHECK(open->response.status == 504);
      CHECK(open->response.body.find("\"executed\":\"unknown\"") != std::string::npos);
    }
  }

  SECTION("that says it has not run, if it waits for the store") {
    it.start_engine();
    it.stop();
    // The store knows which software began the stream.
    it.store.set_fault(store_fault::silent);
    it.wait_until(milliseconds(4900));
    const auto take_up =
        it.open("/chat/1", "s2", milliseconds(500), {{"Last-Event-Id", "3"}, {"Resumes", "s1"}});
    it.end_process();
    it.await_end(take_up);
    REQUIRE(take_up->is_complete());
    CHECK(take_up->response.status == 503);
    CHECK(it.engine->executed_ids.empty());
  }

  SECTION("and so do those that arrive until the process ends") {
    it.stop();
    it.wait_until(milliseconds(5000));
    it.plain->work = milliseconds(300);
    std::map<std::string, std::unique_ptr<http1::raw_connection>> late;
    while (!it.first->is_stopped() && it.loop->now() - it.stopped_at < stop_fixture::grace) {
      const std::string id = "r" + std::to_string(late.size());
      late[id] = it.send_raw("/plans/7", id);
      it.loop->run_until([&] { return it.first->is_stopped(); }, milliseconds(5));
    }
    it.end_process();
    for (const auto& [id, from] : late) {
      const auto& connection = *from;
      REQUIRE(it.loop->run_until([&] { return connection.closed_by_peer; }, wait_limit));
      CHECK((!it.has_run(id) || connection.received.find("HTTP/1.1 ") != std::string::npos));
    }
  }

  SECTION("also if it is about a job") {
    it.start_engine(milliseconds(50), 200);
    REQUIRE(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status ==
            202);
    it.stop();
    it.wait_until(milliseconds(5200));
    it.store.set_fault(store_fault::silent);
    const auto read =
        it.open("/lots/j1?after=0", "r1", seconds(9), {{"Wait-Ms", "1000"}}, "GET", "");
    const auto end = it.open("/lots/j1", "d1", seconds(9), {}, "DELETE", "");
    const auto submission = it.open("/jobs/j2", "j2", seconds(9), {}, "POST", to_text(make_job()));
    it.end_process();
    for (const auto& open : {read, end, submission}) {
      it.await_end(open);
      CHECK(open->is_complete());
    }
    CHECK(read->response.status == 503);
    // The job may be stored, or ended, and the caller can repeat both.
    CHECK(end->response.status >= 500);
    CHECK(submission->response.status >= 500);
  }
}

// Guards against responses that are cut off because the process ends while its caller still reads.
TEST_CASE("a response that is being sent when a process stops arrives whole") {
  stop_fixture it;
  // More than the buffers of the system hold.
  it.plain->answer_size = 32UL * 1024 * 1024;
  const auto slow = it.send_raw("/plans/7", "slow");
  slow->set_reading(false);
  REQUIRE(it.loop->run_until([&] { return it.has_run("slow"); }, wait_limit));
  it.loop->run_until([] { return false; }, milliseconds(500));
  it.stop();
  // An idle process has ended by now.
  it.wait_until(milliseconds(3500));
  slow->set_reading(true);
  it.end_process();
  REQUIRE(it.loop->run_until([&] { return slow->closed_by_peer; }, wait_limit));
  CHECK(slow->received.size() > it.plain->answer_size);
}

// Guards against requests whose callers have to send them again because the process ends while they
// are still arriving.
TEST_CASE("a request that is arriving when a process stops is answered") {
  stop_fixture it;
  const auto sending = http1::connect_raw(*it.loop, it.callers_address);
  sending->send("POST /plans/7 HTTP/1.1\r\nHost: a.example\r\n");
  it.stop();
  // Within the time that the limits allow for the header fields.
  it.wait_until(milliseconds(2000));
  sending->send("Attempt-Id: body\r\nAuthorization: Bearer key-n\r\nContent-Length: 10\r\n\r\n");
  // An idle process ends after two and a half seconds.
  for (int n = 0; n < 10; ++n) {
    it.wait_until(milliseconds(2500 + 100 * n));
    sending->send("x");
  }
  it.end_process();
  REQUIRE(it.loop->run_until([&] { return sending->closed_by_peer; }, wait_limit));
  CHECK(sending->received.find("answer to body") != std::string::npos);
}

// Guards against reports of usage that lack the requests which run while an instance stops.
TEST_CASE("requests that run while a process stops are counted as usage") {
  stop_fixture it;
  it.start("second", it.second);
  it.stop();
  std::size_t sent = 0;
  while (!it.first->is_stopped()) {
    REQUIRE(it.loop->now() - it.stopped_at < stop_fixture::grace);
    const auto look_up = it.open("/plans/7", "u" + std::to_string(sent++), seconds(1));
    it.loop->run_until([&] { return it.first->is_stopped(); }, milliseconds(30));
    if (it.loop->now() - it.stopped_at > milliseconds(2450)) {
      it.loop->run_until([&] { return it.first->is_stopped(); }, wait_limit);
    }
  }
  it.end_process();

  const auto reported = [&] {
    std::map<std::string, std::size_t> by_window;
    for (const http1::request& report : it.reports) {
      const json body = parse_json(report.body).value();
      by_window[to_text(body["window_index"])] = body["counts"].value("north", 0);
    }
    std::size_t total = 0;
    for (const auto& [window, n] : by_window) {
      total += n;
    }
    return total;
  };
  const std::size_t run = it.plain->executed_ids.size();
  CHECK(run > 0);
  it.loop->run_until([&] { return reported() >= run; }, wait_limit);
  CHECK(reported() == run);
}

// Guards against jobs that are accepted in the name of an instance that runs no jobs any more: they
// would wait until it has ended and another one takes them over.
TEST_CASE("a job that a stopping process accepts is to be run by another one") {
  stop_fixture it;
  it.start_engine();
  // The only other member takes no calls.
  const duties::member other{.id = "other/boot",
                             .instance = "other",
                             .data_centre = "z1",
                             .region = "r1",
                             .address = "127.0.0.1:1",
                             .relay = "127.0.0.1:1",
                             .processor = 1};
  bool entered = false;
  it.first->context().store.commit(
      {.expected = {},
       .puts = {{"boragedoor/members/other/boot", duties::to_document(other), 0}},
       .removed = {}},
      [&](const instance::commit_answer& answer) {
        entered = answer.status == instance::store_status::ok;
      });
  REQUIRE(it.loop->run_until(
      [&] { return entered && it.first->members().members().all().size() == 2; }, wait_limit));
  it.stop();
  it.wait_until(milliseconds(500));
  CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
  std::optional<jobs::job_record> record;
  it.first->context().store.read(jobs::record_key("j1"), [&](const instance::read_answer& answer) {
    record = jobs::record_from_document(answer.item.value).value();
  });
  REQUIRE(it.loop->run_until([&] { return record.has_value(); }, wait_limit));
  CHECK(record->runner == "other/boot");
}

} // namespace boragedoor::platform
