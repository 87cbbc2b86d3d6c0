#include <map>
#include <set>
#include <string>
#include <string_view>

#include "http1/raw_peer.h"
#include "platform_fixture.h"
#include "raw_replica.h"

namespace boragedoor::platform {

namespace {

/// How the first runs of each request are answered.
struct first_answer {
  std::string_view name;
  /// The status line, and fields beside the id and the length.
  std::string_view head;
};

constexpr first_answer failure{"a failure", "500 Internal Server Error\r\n"};
constexpr first_answer refusal{"a refusal", "503 Busy\r\nNot-Executed: 1\r\n"};
constexpr first_answer unsigned_success{"a success without a signature", "200 OK\r\n"};

/// A replica that answers the first run of each request in its own way, and sends a second copy of
/// that answer where the answer to the next request of the connection is expected.
class copying_replica {
public:
  copying_replica(net::event_loop& loop, first_answer first)
      : first_(first), server_(loop, [this](http1::raw_connection& it) { answer(it); }) {}

  void announce(store_stand_in& store, const std::string& service, const std::string& model) const {
    announce_raw_replica(store, "raw", service, server_.address(), 4, model);
  }

  /// Runs of requests with an id that were answered otherwise than `first_answer`.
  int executed = 0;
  int copies = 0;
  /// Requests on a connection that had carried another run of the same request.
  int repeated_on_connection = 0;

private:
  void answer(http1::raw_connection& it) {
    const std::string request = take_request(it);
    if (request.empty()) {
      return;
    }
    const std::string id = header_of(request, "Attempt-Id");
    if (id.empty()) {
      it.send(engine_report_message());
      return;
    }
    repeated_on_connection += carried_[&it].insert(id).second ? 0 : 1;
    std::string out = std::exchange(copies_[&it], {});
    copies += out.empty() ? 0 : 1;
    if (known_.insert(id).second) {
      const std::string first = "HTTP/1.1 " + std::string(first_.head) + "Attempt-Id: " + id +
                                "\r\nContent-Length: 0\r\n\r\n";
      copies_[&it] = first;
      it.send(out + first);
      return;
    }
    ++executed;
    const std::string body = "id: 1\ndata: text of " + id + "\n\n";
    it.send(out + "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: sig-" + id +
            "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  first_answer first_;
  std::set<std::string> known_;
  std::map<const http1::raw_connection*, std::set<std::string>> carried_;
  std::map<const http1::raw_connection*, std::string> copies_;
  http1::raw_server server_;
};

json configuration_with(const std::string& kind, int max_attempts) {
  json out = make_configuration(4);
  for (json& route : out["routes"]) {
    route["max_attempts"] = max_attempts;
    if (route["name"] == "plans") {
      route["kind"] = kind;
    }
  }
  return out;
}

/// Runs a job of one item and returns its result. Nothing else uses the replica's connections, so
/// that the second run comes right after the first one.
json run_job(platform_fixture& it) {
  json job = make_job();
  job["desired"] = 1;
  job["items"] = json::array({job["items"][0]});
  REQUIRE(it.call(*it.first, "POST", "/jobs/x", to_text(job), "key-n", "j1").status == 202);
  json results = json::array();
  const time_point end = it.loop->now() + wait_limit;
  while (results.empty() && it.loop->now() < end) {
    const auto out = it.call(*it.first, "GET", "/lots/j1?after=0");
    REQUIRE(out.status == 200);
    results = parse_json(out.body).value()["results"];
    it.loop->run_until([] { return false; }, milliseconds(20));
  }
  REQUIRE(results.size() == 1);
  return results[0];
}

} // namespace

// Guards against a late second copy of an answer that is taken as the answer to the next run of the
// same request: all runs of a request have its id.
TEST_CASE("the copy of an answer arrives when the same request is run again") {
  constexpr int max_attempts = 2;
  platform_fixture it;
  const auto prepare = [&](copying_replica& replica, const std::string& kind,
                           const std::string& service, const std::string& model) {
    it.store.put("op/config", configuration_with(kind, max_attempts));
    if (model.empty()) {
      // The entry of a crashed replica would lapse.
      it.plain->crash();
      it.store.erase("servers/p-1");
    }
    replica.announce(it.store, service, model);
    REQUIRE(it.loop->run_until(
        [&] {
          return it.first->context().endpoints.find("raw") != nullptr &&
                 it.first->context().routes.version() == 4;
        },
        wait_limit));
  };

  SECTION("of a reward call") {
    // A copy of a failure must not count as a further one: the item would be given up early.
    const first_answer first = GENERATE(failure, refusal, unsigned_success);
    copying_replica replica(*it.loop, first);
    INFO(first.name);
    it.start_engine();
    prepare(replica, "safe", "plain", {});
    json result = run_job(it);
    CHECK(result["state"] == "done");
    CHECK(result["score"] == "sig-w0");
    CHECK(replica.executed == 1);
    CHECK(replica.repeated_on_connection == 0);
  }

  SECTION("of an item") {
    const first_answer first = GENERATE(failure, refusal, unsigned_success);
    copying_replica replica(*it.loop, first);
    INFO(first.name);
    prepare(replica, "safe", "models", "m");
    json result = run_job(it);
    CHECK(result["state"] == "done");
    CHECK(result["output"] == "text of i0");
    CHECK(replica.executed == 1);
    CHECK(replica.repeated_on_connection == 0);
  }

  SECTION("of a caller's request") {
    // A caller that repeats its request under the same id must not get the former answer.
    const std::string kind = GENERATE("safe", "unsafe");
    copying_replica replica(*it.loop, refusal);
    INFO(kind);
    prepare(replica, kind, "plain", {});
    for (int n = 0; n < 5; ++n) {
      const std::string id = "r" + std::to_string(n);
      INFO(id);
      CHECK(it.call(*it.first, "POST", "/plans/7", "body", "key-n", id).status == 503);
      CHECK(it.call(*it.first, "POST", "/plans/7", "body", "key-n", id).status == 200);
      CHECK(replica.executed == n + 1);
    }
    CHECK(replica.repeated_on_connection == 0);
  }
}

} // namespace boragedoor::platform
