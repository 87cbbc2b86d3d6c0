#include "standin/trainer_checks.h"
#include "standin/trainer_client.h"
#include "standin/weight_server.h"

#include "test_client.h"

namespace boragedoor::standin {

namespace {

json sample(const std::string& id, const std::string& group, const json& versions = {3}) {
  return {{"id", id},
          {"group", group},
          {"attempt", "a"},
          {"text", "text"},
          {"weight_versions", versions},
          {"finish_reason", "stop"}};
}

std::string batch(int number, const json& samples, bool complete = false) {
  return to_text(
      {{"batch", number}, {"hash", "h"}, {"samples", samples}, {"step_complete", complete}});
}

/// Answers a trainer as the service would, one group a batch.
class fake_service {
public:
  fake_service(net::event_loop& loop, net::address holder = {})
      : holder_(std::move(holder)),
        server_(net::http_server::listen(loop, {"127.0.0.1", 0}, {}, [this](const auto& it) {
                  answer(*it);
                }).value()) {}

  [[nodiscard]] net::address address() const { return server_->local_address(); }

  // Faults that the trainer has to find.
  std::function<void(json&)> spoil;
  bool drop_first_ack = false;
  std::vector<std::string> calls;

private:
  void answer(net::http_exchange& it) {
    const net::http_request& request = it.request();
    calls.push_back(request.method + ' ' + request.path);
    CHECK(net::find_header(request.fields, "Authorization") == "Bearer secret");
    if (holder_.port != 0) {
      it.respond_json(307, {{"holder", net::to_string(holder_)}});
    } else if (request.method == "PUT") {
      groups_ = parse_json(request.body).value()["groups"];
      version_ = parse_json(request.body).value()["weight_version"];
      it.respond_json(200, json::object());
    } else if (request.method == "GET") {
      pull(it);
    } else if (drop_first_ack && request.path.ends_with("/ack")) {
      drop_first_ack = false;
      it.abort();
    } else {
      it.respond_json(200, json::object());
    }
  }

  void pull(net::http_exchange& it) {
    const std::size_t n = std::stoul(it.request().query.at("after"));
    if (n >= groups_.size()) {
      it.respond(204, {}, "");
      return;
    }
    json samples = json::array();
    const std::string group = groups_[n]["id"];
    for (int k = 0; k < groups_[n]["size"].get<int>(); ++k) {
      samples.push_back(sample(group + '-' + std::to_string(k), group, {version_}));
    }
    json body =
        parse_json(batch(static_cast<int>(n) + 1, samples, n + 1 == groups_.size())).value();
    if (spoil) {
      spoil(body);
    }
    it.respond_json(200, body);
  }

  net::address holder_;
  json groups_ = json::array();
  std::int64_t version_ = 0;
  std::unique_ptr<net::http_server> server_;
};

} // namespace

TEST_CASE("what a trainer checks") {
  trainer_checks checks;
  checks.start_step(1, {{"g1", 2}, {"g2", 1}}, 3, 1);
  const std::string first = batch(1, {sample("s1", "g1"), sample("s2", "g1", {2, 3})});
  REQUIRE(checks.receive(first));
  const auto found = [&] {
    return checks.violations().empty() ? std::string() : checks.violations().front();
  };

  SECTION("a step that is as promised") {
    CHECK_FALSE(checks.receive(first));
    CHECK(checks.receive(batch(2, json::array({sample("s3", "g2")}), true)));
    CHECK(checks.step_is_whole());
    checks.finish_step();
    CHECK(checks.violations().empty());
    CHECK(checks.samples() == 3);
    CHECK(checks.repetitions() == 1);
    CHECK(checks.greatest_staleness() == 1);
  }

  SECTION("a repeated batch with other bytes") {
    checks.receive(batch(1, {sample("s1", "g1"), sample("s2", "g1", {3})}));
    CHECK(found() == "step 1: batch 1 was repeated with other bytes");
  }

  SECTION("a repeated batch may say that the step is complete by now") {
    checks.receive(batch(1, {sample("s1", "g1"), sample("s2", "g1", {2, 3})}, true));
    CHECK(found().empty());
  }

  SECTION("a sample that comes twice") {
    checks.receive(batch(2, json::array({sample("s1", "g2")})));
    CHECK(found() == "step 1: sample s1 came twice");
  }

  SECTION("a group that comes again, in parts or not at all") {
    checks.receive(batch(2, json::array({sample("s4", "g1")})));
    CHECK(found() == "step 1: group g1 was not asked for or came before");
    checks.receive(batch(3, {sample("s5", "g2"), sample("s6", "g2")}));
    CHECK(checks.violations().at(1) == "step 1: group g2 came with 2 samples of 1");
    checks.start_step(2, {{"g3", 1}}, 3, 1);
    checks.finish_step();
    CHECK(checks.violations().at(2) == "step 2: group g3 did not come");
  }

  SECTION("a sample that is stale, of no version or of a future one") {
    checks.receive(batch(2, json::array({sample("s3", "g2", {1, 3})})));
    CHECK(found() == "step 1: sample s3 is 2 versions old; the bound is 1");
    checks.receive(batch(3, json::array({sample("s4", "g2", json::array())})));
    CHECK(checks.violations().at(1) == "step 1: sample s4 names no weight version");
    checks.receive(batch(4, json::array({sample("s5", "g2", {4})})));
    CHECK(checks.violations().at(3) == "step 1: sample s5 names version 4, which is not published");
  }

  SECTION("an answer that is no batch") {
    CHECK_FALSE(checks.receive("{}"));
    CHECK_FALSE(checks.receive("not JSON"));
    CHECK(checks.violations().size() == 2);
  }
}

TEST_CASE("a trainer runs its steps") {
  test_client client;
  fake_service service(client.loop());
  const auto weights = weight_server::create(client.loop(), {}).value();
  trainer_options options;
  options.targets = {service.address()};
  options.key = "secret";
  options.steps = 2;
  options.groups = 3;
  options.repeat_every = 2;
  options.weight_store = weights->local_address();
  options.retry_delay = milliseconds(1);
  const auto run = [&] {
    auto trainer = std::make_unique<trainer_client>(client.loop(), options);
    trainer->start({});
    REQUIRE(client.wait([&] { return trainer->is_done(); }));
    return trainer->summary();
  };

  SECTION("to the end, publishing a version after each") {
    const json summary = run();
    CHECK(summary["violations"].empty());
    CHECK(summary["steps"] == 2);
    CHECK(summary["samples"] == 24);
    CHECK(summary["batches"] == 6);
    CHECK(summary["repetitions"] == 2);
    CHECK(weights->state().latest("model") == 3);
    CHECK(service.calls.back() == "POST /v1/trainers/trainer-1/versions");
  }

  SECTION("after a redirect to the holder") {
    fake_service other(client.loop(), service.address());
    options.targets = {other.address()};
    const json summary = run();
    CHECK(summary["violations"].empty());
    CHECK(summary["redirects"] == 1);
    CHECK(summary["samples"] == 24);
  }

  SECTION("after an answer was lost") {
    service.drop_first_ack = true;
    const json summary = run();
    CHECK(summary["violations"].empty());
    CHECK(summary["retries"] == 1);
  }

  SECTION("and reports a batch that changes between two deliveries") {
    int n = 0;
    service.spoil = [&n](json& body) { body["hash"] = std::to_string(++n); };
    CHECK_FALSE(run()["violations"].empty());
  }

  SECTION("and reports a step that ends without all groups") {
    service.spoil = [](json& body) {
      if (body["batch"] == 3) {
        body["samples"] = json::array();
      }
    };
    CHECK(run()["violations"].size() == 2);
  }

  SECTION("and reports what is missing when the time is over") {
    options.targets = {{"127.0.0.1", 1}};
    options.time_limit = milliseconds(50);
    CHECK(run()["violations"].size() == 1);
  }
}

} // namespace boragedoor::standin
