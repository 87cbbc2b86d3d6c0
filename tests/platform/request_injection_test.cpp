#include <algorithm>
#include <functional>
#include <string>

#include "jobs/job_documents.h"
#include "platform/job_codec.h"
#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// Id of a request that no caller sends by itself.
const std::string hidden_id = "hidden";

/// Fields that end a request, and the start of a second one that the fields after this text
/// complete.
std::string hidden_request(const std::string& target) {
  return "Content-Length: 0\r\n\r\nPOST " + target + " HTTP/1.1\r\nAttempt-Id: " + hidden_id +
         "\r\nTenant: south\r\nX: x";
}

const std::string host_field = "\r\nHost: a.example";

struct changed_text {
  std::string_view name;
  /// Puts the hidden request into the first item.
  std::function<void(json& item)> apply;
};

std::vector<changed_text> changed_texts() {
  const std::string to_engine = hidden_request("/jobs/other");
  const std::string to_plain = hidden_request("/status/other");
  return {
      {"path of an item",
       [=](json& it) {
         it["path"] = "/jobs/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: i0\r\n" + to_engine;
       }},
      {"id of an item", [=](json& it) { it["id"] = "i0\r\n" + to_engine + host_field; }},
      {"path of a reward call",
       [=](json& it) {
         it["scorer_url"]["path"] =
             "/status/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w0\r\n" + to_plain;
       }},
      {"id of a reward call",
       [=](json& it) { it["scorer_url"]["id"] = "w0\r\n" + to_plain + host_field; }},
      {"host of a reward call",
       [=](json& it) { it["scorer_url"]["host"] = "a.example:80\r\n" + to_plain + host_field; }},
  };
}

bool has_run_hidden(const platform_fixture& it) {
  const auto among = [](const replica_stand_in& of) {
    return std::count(of.executed_ids.begin(), of.executed_ids.end(), hidden_id) > 0;
  };
  return among(*it.engine) || among(*it.plain);
}

} // namespace

// Guards against the id of a job that names keys of the store beside its own.
TEST_CASE("a job whose id cannot be part of a key is refused") {
  platform_fixture it;
  it.start_engine();
  const std::string id =
      GENERATE(as<std::string>(), R"(j","value":"eA=="},{"key":"boragedoor/jobs/other)",
               "other/000004", "j\\u0061", "j j", "j\xc3\xa9", std::string(200, 'j'));
  INFO(id);
  CHECK(it.call(*it.first, "POST", "/jobs/x", to_text(make_job()), "key-n", id).status == 400);
  CHECK(it.store.keys("boragedoor/jobs/").empty());
  CHECK(it.store.keys("boragedoor/contents/").empty());
  const std::string longest(128, 'j');
  CHECK(it.call(*it.first, "POST", "/jobs/x", to_text(make_job()), "key-n", longest).status == 202);
}

// Guards against a second request inside a text of a job, which would run under the name of another
// workspace.
TEST_CASE("a job with a request inside one of its texts") {
  const auto change = GENERATE(from_range(changed_texts()));
  platform_fixture it;
  it.start_engine();
  json job = make_job();
  change.apply(job["items"][0]);

  DYNAMIC_SECTION(change.name << ", is refused") {
    CHECK(it.call(*it.first, "POST", "/jobs/x", to_text(job), "key-n", "j1").status == 400);
    it.loop->run_until([&] { return has_run_hidden(it); }, seconds(1));
    CHECK_FALSE(has_run_hidden(it));
  }

  DYNAMIC_SECTION(change.name << ", was accepted by an earlier release") {
    // Its other items are run, and the one that cannot be sent ends the job's wait for it.
    jobs::job stored;
    stored.id = "j1";
    stored.workspace = "north";
    stored.route = "jobs";
    stored.host = "a.example";
    stored.minimum_version = 1;
    stored.max_attempts = 3;
    const wall_time now = it.first->context().stable_wall_now();
    stored.submitted = now;
    stored.due = now + seconds(7);
    stored.give_up = now + seconds(600);
    for (const json& from : job["items"]) {
      const json& reward = from["scorer_url"];
      stored.items.push_back(
          {.id = from["id"],
           .path = from["path"],
           .headers = {{"Model", "m"}, {"Token-Usage", "10,100"}},
           .body = "body",
           .model = "m",
           .group = from["group"],
           .reward = jobs::reward_call{reward["id"], reward["host"], reward["path"], "text"}});
    }
    it.store.put_bytes(jobs::contents_key("j1"), jobs::to_document(stored));
    it.store.put_bytes(jobs::record_key("j1"),
                       jobs::to_document(jobs::job_record{.id = "j1",
                                                          .workspace = "north",
                                                          .total = stored.items.size(),
                                                          .runner = "first/earlier",
                                                          .submitted = now,
                                                          .model = "m"}));
    const auto results = it.read_all(*it.first, "j1");
    REQUIRE(results.size() == 4);
    for (const auto& [id, result] : results) {
      INFO(id);
      CHECK(result["state"] == (id.starts_with("i0") ? "terminated" : "done"));
    }
    CHECK_FALSE(has_run_hidden(it));
    CHECK(it.call(*it.first, "GET", "/plans/7").status == 200);
  }
}

} // namespace boragedoor::platform
