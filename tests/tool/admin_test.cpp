#include <catch2/catch.hpp>

#include "standin_daemon.h"
#include "support/samples.h"
#include "tool_run.h"

namespace boragedoor::tool {

using testing::run;
using testing::standin_daemon;

namespace {

const std::string sample = "../../samples/threadwell/questionnaire.json";
/// A port on which nothing listens.
const std::string dead = "127.0.0.1:1";

standin_daemon::handler replies(int status, const json& body) {
  return [status, body](net::http_exchange& it) { it.respond_json(status, body); };
}

json error_body(std::string_view executed) {
  return {{"error", {{"code", "unavailable"}, {"message", "no store"}, {"executed", executed}}}};
}

json accepted(std::uint64_t revision) {
  auto it = testing::sample_configuration("threadwell");
  it.revision = revision;
  return {{"revision", revision}, {"document", to_json(it)}};
}

using lines = std::vector<std::string>;

} // namespace

TEST_CASE("the tool asks the targets in order") {
  standin_daemon good(replies(200, {{"keys", json::array()}}));

  SECTION("and goes on when one does not listen or fails a read") {
    standin_daemon failing(replies(503, error_body("unknown")));
    const auto it =
        run({"key", "list", "--target=" + dead + ',' + failing.target() + ',' + good.target()});
    CHECK(it.status == exit_ok);
    CHECK(good.lines() == lines{"GET /admin/keys"});
    CHECK(net::find_header(good.requests().front().fields, "Authorization") == "Bearer t0ken");
  }
  SECTION("and stops at a refusal") {
    standin_daemon refusing(replies(401, json::object()));
    const auto it = run({"key", "list", "--target=" + refusing.target() + ',' + good.target()});
    CHECK(it.status == exit_failed);
    CHECK(it.err.find("--token_file") != std::string::npos);
    CHECK(good.lines().empty());
  }
}

TEST_CASE("a request that may not be repeated") {
  standin_daemon good(replies(200, {{"key", "bd_secret"}, {"key_id", "k"}, {"revision", 3}}));
  const auto issue = [&](const std::string& first) {
    return run({"key", "issue", "intake", "--target=" + first + ',' + good.target()});
  };

  SECTION("goes to the next target when nothing was sent") {
    const auto it = issue(dead);
    CHECK(it.status == exit_ok);
    CHECK(it.out == "bd_secret\n");
    CHECK(good.requests().front().body == R"({"workspace":"intake"})");
  }
  SECTION("goes to the next target when the first says that it did not execute it") {
    standin_daemon busy(replies(503, error_body("no")));
    CHECK(issue(busy.target()).status == exit_ok);
  }
  SECTION("goes to no other target when its outcome is unknown") {
    standin_daemon breaking([](net::http_exchange& it) { it.abort(); });
    standin_daemon unsure(replies(503, error_body("unknown")));
    standin_daemon garbled([](net::http_exchange& it) { it.respond(200, {}, "<html>"); });
    for (auto* first : {&breaking, &unsure, &garbled}) {
      const auto it = issue(first->target());
      CHECK(it.status == exit_failed);
      CHECK(it.err.find("outcome is unknown") != std::string::npos);
      CHECK(it.err.find("boragedoor key list") != std::string::npos);
      CHECK(first->lines().size() == 1);
    }
    CHECK(good.lines().empty());
  }
  SECTION("is not repeated after a time-out either") {
    standin_daemon silent([](net::http_exchange&) {});
    const auto it = run({"key", "issue", "intake", "--timeout_ms=100",
                         "--target=" + silent.target() + ',' + good.target()});
    CHECK(it.status == exit_failed);
    CHECK(it.err.find("outcome is unknown") != std::string::npos);
    CHECK(good.lines().empty());
  }
}

TEST_CASE("config propose") {
  const auto propose = [](const std::string& target, lines more = {}) {
    lines words = {"config", "propose", "--questionnaire", sample, "--target=" + target};
    words.insert(words.end(), more.begin(), more.end());
    return run(words);
  };
  const auto daemon = [](int status, const json& body) {
    return [status, body](net::http_exchange& it) {
      const bool is_read = it.request().method == "GET";
      it.respond_json(is_read ? 200 : status, is_read ? accepted(7) : body);
    };
  };

  SECTION("sends the generated document with the revision it is based on") {
    standin_daemon it(daemon(200, {{"revision", 8}}));
    const auto result = propose(it.target());
    CHECK(result.status == exit_ok);
    CHECK(result.out.starts_with("accepted as revision 8"));
    REQUIRE(it.lines() == lines{"GET /admin/config", "POST /admin/config"});
    const json body = json::parse(it.requests().back().body);
    CHECK(body["based_on"] == 7);
    CHECK(body["document"]["proposal_id"].get<std::string>().size() == 32);
    CHECK(config::configuration::from_json(body["document"], "sent"));
  }
  SECTION("tells the loser of a race what changed") {
    standin_daemon it(daemon(409, {{"error", {{"code", "conflict"}}},
                                   {"revision", 9},
                                   {"changes", {{{"text", "workspace \"a\" added"}}, "plain"}}}));
    const auto result = propose(it.target());
    CHECK(result.status == exit_failed);
    CHECK(result.err.find("revision 9") != std::string::npos);
    CHECK(result.err.find("  workspace \"a\" added\n  plain\n") != std::string::npos);
  }
  SECTION("shows the findings of the daemon") {
    const json finding = {{"key", "$.team"}, {"problem", "missing"}, {"remedy", "add the field"}};
    standin_daemon it(daemon(
        400, {{"error", {{"code", "invalid_request"}}}, {"findings", json::array({finding})}}));
    const auto result = propose(it.target());
    CHECK(result.status == exit_failed);
    CHECK(result.err.find("  $.team: missing; add the field\n") != std::string::npos);
  }
  SECTION("names the proposal when its outcome is unknown") {
    standin_daemon it([](net::http_exchange& exchange) {
      if (exchange.request().method == "GET") {
        exchange.respond_json(200, accepted(7));
      } else {
        exchange.abort();
      }
    });
    const auto result = propose(it.target());
    CHECK(result.status == exit_failed);
    const json body = json::parse(it.requests().back().body);
    CHECK(result.err.find("boragedoor config show") != std::string::npos);
    CHECK(result.err.find(body["document"]["proposal_id"].get<std::string>()) != std::string::npos);
  }
  SECTION("only shows the changes when asked to") {
    standin_daemon it(daemon(500, {}));
    const auto result = propose(it.target(), {"--dry_run"});
    CHECK(result.status == exit_ok);
    CHECK(result.out == "no changes\n");
    CHECK(it.lines() == lines{"GET /admin/config", "GET /admin/config"});
  }
  SECTION("works before the first configuration") {
    standin_daemon it(replies(200, {{"revision", 0}, {"document", nullptr}}));
    propose(it.target());
    CHECK(json::parse(it.requests().back().body)["based_on"] == 0);
  }
}

TEST_CASE("the other commands") {
  const auto ask = [](const lines& words, int status, const json& body, const std::string& line) {
    standin_daemon it(replies(status, body));
    lines all = words;
    all.push_back("--target=" + it.target());
    auto result = run(all);
    CHECK(it.lines() == lines{line});
    return result;
  };

  SECTION("print tables in which no value steers the terminal") {
    const json body = {{"instances", {{{"id", "a\x1b[2J"}, {"state", "ready"}, {"x", {1, 2}}}}}};
    const auto it = ask({"instance", "list"}, 200, body, "GET /admin/instances");
    CHECK(it.out == "id     data_centre  state  revision  x\n"
                    "a?[2J  -            ready  -         1,2\n");
    CHECK(ask({"instance", "list", "--json"}, 200, body, "GET /admin/instances").out ==
          to_text(body) + '\n');
  }
  SECTION("report a reply of another form") {
    CHECK(ask({"endpoint", "list"}, 200, {{"x", 1}}, "GET /admin/endpoints").status == exit_failed);
    CHECK(ask({"usage", "show"}, 200, json::array(), "GET /admin/usage").status == exit_failed);
    CHECK(ask({"config", "status"}, 404, {}, "GET /admin/config/status").status == exit_failed);
    CHECK(ask({"config", "show"}, 200, {{"document", 5}}, "GET /admin/config").status ==
          exit_failed);
  }
  SECTION("show the accepted configuration") {
    const auto it = ask({"config", "show", "--json"}, 200, accepted(4), "GET /admin/config");
    CHECK(json::parse(it.out)["revision"] == 4);
    CHECK(ask({"config", "show"}, 200, accepted(4), "GET /admin/config")
              .out.starts_with("revision 4"));
  }
  SECTION("withdraw a key and say who knows of it") {
    const auto it = ask({"key", "withdraw", "0123456789abcdef"}, 200,
                        {{"key_id", "0123456789abcdef"}, {"holders", 2}, {"durable", false}},
                        "DELETE /admin/keys/0123456789abcdef");
    CHECK(it.err.find("repeat the command") != std::string::npos);
    CHECK(it.out == "withdrawn: 0123456789abcdef; known to 2 instances, the store does not have it "
                    "yet\n");
  }
  SECTION("name the figures of a usage window") {
    const json row = {"intake", "part-history", 0, 12, 340, 56, 7800};
    const auto reply = [](const json& figures) {
      const json shard = {{"shard", 1}, {"figures", json::array({figures})}};
      return json{{"window", 29}, {"shards", json::array({shard})}};
    };
    const auto it =
        ask({"usage", "show", "--json", "--window=29"}, 200, reply(row), "GET /admin/usage");
    REQUIRE(it.status == exit_ok);
    CHECK(json::parse(it.out)["usage"][0]["prompt_tokens"] == 340);
    CHECK(ask({"usage", "show"}, 200, reply({"intake", 1}), "GET /admin/usage").status ==
          exit_failed);
  }
  SECTION("list the keys of one workspace") {
    const json body = {
        {"keys", {{{"key_id", "k1"}, {"workspace", "a"}}, {{"key_id", "k2"}, {"workspace", "b"}}}}};
    const auto it = ask({"key", "list", "--workspace=b"}, 200, body, "GET /admin/keys");
    CHECK(it.out.find("k2") != std::string::npos);
    CHECK(it.out.find("k1") == std::string::npos);
  }
  SECTION("drain an instance") {
    CHECK(ask({"instance", "drain", "mill-1"}, 202, {{"state", "draining"}},
              "POST /admin/instances/mill-1/drain")
              .status == exit_ok);
  }
}

TEST_CASE("the timeline of running daemons") {
  const auto daemon = [](const std::string& instance, int n) {
    return [instance, n](net::http_exchange& it) {
      // Two events for each reply, as a daemon with a bounded reply would send them.
      const auto found = it.request().query.find("after");
      const int after = found == it.request().query.end() ? 0 : std::stoi(found->second);
      json list = json::array();
      for (int i = after + 1; i <= std::min(after + 2, n); ++i) {
        list.push_back({{"number", 1201},
                        {"instance", instance},
                        {"boot", "b"},
                        {"sequence", i},
                        {"monotonic_us", i},
                        {"wall_us", i},
                        {"shard", "dc/mill"}});
      }
      it.respond_json(200, {{"events", list}, {"evicted", 4}});
    };
  };
  standin_daemon first(daemon("i1", 3));
  standin_daemon second(daemon("i2", 2));
  const std::string targets = "--target=" + first.target() + ',' + second.target();

  SECTION("asks every target for all its events") {
    const auto it = run({"timeline", "--json", targets});
    CHECK(it.status == exit_ok);
    CHECK(json::parse(it.out)["events"].size() == 5);
    CHECK(it.err.find("8 events had left") != std::string::npos);
  }
  SECTION("shows what it has and fails when a daemon does not answer") {
    const auto it = run({"timeline", "--json", targets + ',' + dead});
    CHECK(it.status == exit_failed);
    CHECK(json::parse(it.out)["events"].size() == 5);
  }
  SECTION("counts malformed lines of a file on standard error") {
    const auto it = run({"timeline", "--file=-"}, "{\nnot an event\n");
    CHECK(it.status == exit_ok);
    CHECK(it.err.find("-:2: malformed") != std::string::npos);
    CHECK(it.err.find("2 malformed lines") != std::string::npos);
  }
}

} // namespace boragedoor::tool
