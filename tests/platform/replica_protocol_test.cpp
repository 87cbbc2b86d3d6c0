#include "platform/replica_protocol.h"

#include <catch2/catch.hpp>

#include "base/json.h"

namespace boragedoor::platform {

namespace {

const instance::send_context to{"i-1", "north", milliseconds(740)};

std::string_view header(const http1::request& it, std::string_view name) {
  return net::find_header(it.headers, name);
}

} // namespace

TEST_CASE("a caller's request is passed on without what is the system's own") {
  const replica_protocol protocol;
  const http1::request received{"POST",
                                "/p/1?x=2",
                                {{"Host", "a.example"},
                                 {"Attempt-Id", "a1"},
                                 {"Authorization", "Bearer key"},
                                 {"Deadline-Ms", "1500"},
                                 {"Tenant", "forged"},
                                 {"expect-replica", "forged"},
                                 {"Connection", "keep-alive, X-Hop"},
                                 {"X-Hop", "1"},
                                 {"X-Other", "2"},
                                 {"Transfer-Encoding", "chunked"}},
                                "body"};
  const http1::request it = protocol.forward(received, to);
  CHECK(it.target == "/p/1?x=2");
  CHECK(it.body == "body");
  CHECK(header(it, "Attempt-Id") == "a1");
  CHECK(header(it, "Authorization").empty());
  CHECK(header(it, "Deadline-Ms") == "740");
  CHECK(header(it, "Tenant") == "north");
  CHECK(header(it, "Expect-Replica") == "i-1");
  CHECK(header(it, "X-Hop").empty());
  CHECK(header(it, "X-Other") == "2");
  CHECK(header(it, "Transfer-Encoding").empty());
  CHECK(shown_key(received.headers) == "key");
  CHECK(allowed_time(received.headers) == milliseconds(1500));
}

TEST_CASE("an item is asked for as its trainer wants it, from the event where it stopped") {
  const replica_protocol protocol;
  jobs::job job;
  job.host = "a.example";
  jobs::job_item item;
  item.id = "i1";
  item.path = "/p/1";
  item.headers = {{"Model", "m"}, {"Tenant", "forged"}, {"Attempt-Id", "forged"}};
  const http1::request first = protocol.generate(job, item, std::nullopt, to);
  CHECK(header(first, "Host") == "a.example");
  CHECK(header(first, "Attempt-Id") == "i1");
  CHECK(header(first, "Tenant") == "north");
  CHECK(header(first, "Last-Event-Id").empty());
  CHECK(header(protocol.generate(job, item, 0, to), "Last-Event-Id") == "0");
  CHECK(header(protocol.generate(job, item, 12, to), "Last-Event-Id") == "12");
}

TEST_CASE("a reward call carries no workspace") {
  const replica_protocol protocol;
  const auto it = protocol.score({"w1", "b.example", "/s", "body"}, {"i-2", "", seconds(2)});
  CHECK(header(it, "Host") == "b.example");
  CHECK(header(it, "Attempt-Id") == "w1");
  CHECK(header(it, "Tenant").empty());
}

TEST_CASE("an order is bound to the orders before it and to its holder") {
  const replica_protocol protocol;
  const auto it = protocol.order({.endpoint = "i-1",
                                  .model = "m",
                                  .version = 4,
                                  .mode = instance::load_mode::retain,
                                  .holder = "front-1",
                                  .fencing_token = 41,
                                  .expected_sequence = 2});
  const json body = parse_json(it.body).value();
  CHECK(body["operation"] == "version");
  CHECK(body["mode"] == "retain");
  CHECK(body["owner"] == "front-1");
  CHECK(body["fencing_token"] == 41);
  CHECK(body["expected"] == 2);
  CHECK(header(it, "Expect-Replica") == "i-1");
}

TEST_CASE("what a replica says of itself is read") {
  const replica_protocol protocol;
  const auto read = [&](int status, net::headers headers) {
    return protocol.read({status, std::move(headers), {}});
  };
  const auto it = read(200, {{"Attempt-Id", "a1"},
                             {"Response-Signature", "s"},
                             {"Replica-Load", "3,1,8"},
                             {"Weight-Versions", "7"}});
  CHECK(it.attempt == "a1");
  CHECK(it.signature == "s");
  CHECK(it.running == 3);
  CHECK(it.waiting == 1);
  CHECK(it.weight_version == 7);
  CHECK_FALSE(it.not_run);
  CHECK(read(503, {{"Not-Executed", "1"}}).not_run);
  CHECK_FALSE(read(503, {}).not_run);
  CHECK(read(421, {}).misdirected);
  CHECK(read(421, {}).not_run);
  CHECK_FALSE(read(200, {{"Replica-Load", "many"}}).running);
  CHECK_FALSE(it.request_limit);
  CHECK(read(200, {{"Server-Limit", "3.75"}}).request_limit == 3.75);
  CHECK(read(200, {{"Server-Limit", "0"}}).request_limit == 0.0);
  for (const char* text : {"", "many", "-1", "3,5", "5 a second", "inf", "nan"}) {
    CHECK_FALSE(read(200, {{"Server-Limit", text}}).request_limit);
  }
}

TEST_CASE("a change of the weights within a stream is read from its event") {
  const replica_protocol protocol;
  jobs::stream_event it;
  CHECK_FALSE(protocol.version_change(it));
  it.field_name = "weight-versions";
  it.field_value = "8";
  CHECK(protocol.version_change(it) == 8);
}

TEST_CASE("a report of an engine is read, a damaged one is not") {
  const replica_protocol protocol;
  const auto it = protocol.read_report(
      {200, {}, R"({"models":[{"name":"m","version":3}],"busy":true,"sequence":5})"});
  REQUIRE(it);
  CHECK(it->order_sequence == 5);
  CHECK(it->order_in_progress);
  CHECK(it->versions.at("m") == 3);
  CHECK_FALSE(protocol.read_report({200, {}, "{}"}));
  CHECK_FALSE(protocol.read_report({503, {}, "{}"}));
}

} // namespace boragedoor::platform
