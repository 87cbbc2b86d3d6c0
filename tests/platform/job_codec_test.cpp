#include "platform/job_codec.h"

#include <catch2/catch.hpp>

#include "base/json.h"
#include "jobs/job_documents.h"
#include "jobs/job_memory.h"

namespace boragedoor::platform {

namespace {

constexpr wall_time morning{seconds(1000)};

dispatch::route make_route() {
  dispatch::route it;
  it.name = "r";
  it.host = "a.example";
  it.max_attempts = 3;
  it.due = milliseconds(7500);
  it.max_queue = seconds(40);
  return it;
}

json make_submission() {
  return {
      {"step", 7},
      {"model", "m"},
      {"min_version", 6},
      {"desired", 12},
      {"items",
       {{{"id", "i1"},
         {"path", "/p/1"},
         {"headers", {{"Model", "m"}, {"Token-Usage", "540,400"}}},
         {"body", "AAE="},
         {"tokens", 940},
         {"group", "g1"},
         {"scorer_url", {{"id", "w1"}, {"host", "b.example"}, {"path", "/s/1"}, {"body", ""}}}}}}};
}

} // namespace

TEST_CASE("a submitted job is read with its times") {
  json submission = make_submission();
  const auto read = read_job(to_text(submission), "j", "north", make_route(), morning);
  REQUIRE(read);
  const jobs::job& it = read.value();
  CHECK(it.workspace == "north");
  CHECK(it.minimum_version == 6);
  CHECK(it.desired_groups == 12);
  CHECK(it.due == morning + milliseconds(7500));
  CHECK(it.give_up == morning + seconds(40));
  REQUIRE(it.items.size() == 1);
  CHECK(it.items[0].model == "m");
  CHECK(it.items[0].body == std::string("\0\x01", 2));
  CHECK(it.items[0].expected_tokens == 400);
  CHECK(it.items[0].reward->host == "b.example");

  SECTION("an estimate of the caller goes before its upper bound") {
    submission["items"][0]["headers"]["Length-Hint"] = "70";
    CHECK(read_job(to_text(submission), "j", "n", make_route(), morning)
              .value()
              .items[0]
              .expected_tokens == 70);
  }
}

TEST_CASE("a job that cannot be run as it stands is refused") {
  json submission = make_submission();
  SECTION("without items") {
    submission["items"] = json::array();
  }
  SECTION("with an item without a path") {
    submission["items"][0].erase("path");
  }
  SECTION("with a body that is no base64") {
    submission["items"][0]["body"] = "!";
  }
  SECTION("with a header that would start another one") {
    submission["items"][0]["headers"]["X"] = "a\r\nTenant: other";
  }
  SECTION("with an item that is no object") {
    submission["items"].push_back(GENERATE(json(1), json("i"), json::array(), json(nullptr)));
  }
  SECTION("with an id, a path or a body of another type") {
    submission["items"][0][GENERATE("id", "path", "body")] =
        GENERATE(json(1), json::array({"a"}), json(nullptr), json::object());
  }
  SECTION("with a header that is no text") {
    submission["items"][0]["headers"]["X"] = GENERATE(json(1), json::array(), json::object());
  }
  SECTION("with a reward call of another type") {
    submission["items"][0]["scorer_url"] =
        GENERATE(json(1), json("/s"), json(nullptr), json::array());
  }
  SECTION("with deep nesting") {
    json deep;
    for (std::size_t n = 0; n < max_json_depth; ++n) {
      deep = json::array({deep});
    }
    submission["deep"] = deep;
  }
  SECTION("with items that are no list") {
    submission["items"] = submission["items"][0];
  }
  SECTION("with a reward call without a host") {
    submission["items"][0]["scorer_url"].erase("host");
  }
  CHECK_FALSE(read_job(to_text(submission), "j", "north", make_route(), morning));
}

// Guards against a job of legal size that takes many times its text while it is read.
TEST_CASE("fields that a job does not have are skipped") {
  json submission = make_submission();
  const json plain = submission;
  const json others = {1, -2, 3.5, "text", nullptr, true, {{"id", "x"}, {"items", {1}}}, {{1}, {}}};
  SECTION("of the job") {
    submission["numbers"] = others;
    submission["more"] = {{"items", others}, {"id", 5}, {"step", 9}};
  }
  SECTION("of an item") {
    submission["items"][0]["numbers"] = others;
    submission["items"][0]["more"] = {{"id", 5}, {"headers", others}, {"path", "/other"}};
  }
  SECTION("of a reward call") {
    submission["items"][0]["scorer_url"]["numbers"] = others;
    submission["items"][0]["scorer_url"]["more"] = {{"id", 5}, {"path", "/other"}};
  }
  const auto expected = read_job(to_text(plain), "j", "north", make_route(), morning);
  const auto read = read_job(to_text(submission), "j", "north", make_route(), morning);
  REQUIRE(read);
  CHECK(jobs::to_document(read.value()) == jobs::to_document(expected.value()));
}

TEST_CASE("a job whose items take more memory than there is is refused as it is read") {
  json submission = make_submission();
  json item = {{"id", "i"}, {"path", "/"}, {"body", ""}};
  constexpr std::size_t count = 1000;
  submission["items"] = json::array();
  for (std::size_t n = 0; n < count; ++n) {
    submission["items"].push_back(item);
  }
  jobs::job_item one;
  one.id = "i";
  one.path = "/";
  one.group = "i";
  const std::size_t bytes = count * jobs::item_bytes(one);
  CHECK(read_job(to_text(submission), "j", "north", make_route(), morning, bytes));
  const auto refused =
      read_job(to_text(submission), "j", "north", make_route(), morning, bytes - 1);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == error_code::overloaded);
}

// Guards against a text of a job that reaches an endpoint as a second request or as header fields,
// and against an id that no response can repeat.
TEST_CASE("a job is refused if a text of it cannot stand in a request as it is") {
  const std::string break_out = "x HTTP/1.1\r\nTenant: other\r\n\r\n";
  struct bad_text {
    std::string_view field;
    std::string value;
  };
  const auto bad = GENERATE_COPY(
      bad_text{"path", "/p/" + break_out}, bad_text{"path", "/p/a b"}, bad_text{"path", "/p/a\tb"},
      bad_text{"path", "/p/\n"}, bad_text{"path", std::string("/p/\0", 4)},
      bad_text{"path", "/p/\x7f"}, bad_text{"path", "/p/\xc3\xa9"}, bad_text{"path", "p/1"},
      bad_text{"path", ""}, bad_text{"id", "i" + break_out}, bad_text{"id", ""},
      bad_text{"id", " i1"}, bad_text{"id", "i1\t"}, bad_text{"host", "b.example:1\r\nX: y"},
      bad_text{"host", "b.example "}, bad_text{"host", ""});
  const bool of_reward = GENERATE(false, true);
  if (bad.field == "host" && !of_reward) {
    return;
  }
  json submission = make_submission();
  json& item = submission["items"][0];
  (of_reward ? item["scorer_url"] : item)[std::string(bad.field)] = bad.value;
  INFO((of_reward ? "reward call, " : "item, ") << bad.field << ": " << bad.value);
  CHECK_FALSE(read_job(to_text(submission), "j", "north", make_route(), morning));
}

TEST_CASE("results are written as the trainer reads them") {
  instance::job_listing listing{40, 13, {}};
  listing.results.push_back({"i1", jobs::item_state::done, "a\nb", {6, 7}, "sig"});
  listing.results.push_back({"i2", jobs::item_state::terminated, "", {}, ""});
  const json out = parse_json(write_listing(listing)).value();
  CHECK(out["total"] == 40);
  CHECK(out["next"] == 13);
  CHECK(out["results"][0]["output"] == "a\nb");
  CHECK(out["results"][0]["versions"] == json({6, 7}));
  CHECK(out["results"][0]["score"] == "sig");
  CHECK(out["results"][1]["state"] == "terminated");

  SECTION("no more than fits one answer, and the next position says so") {
    listing.results[0].text = std::string(900UL * 1024, 'x');
    listing.results.push_back({"i3", jobs::item_state::done, "late", {6}, ""});
    listing.next = 14;
    const json part = parse_json(write_listing(listing)).value();
    CHECK(part["results"].size() == 2);
    CHECK(part["next"] == 13);
  }
}

} // namespace boragedoor::platform
