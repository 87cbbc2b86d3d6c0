#include "daemon/test_cluster.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>

#include <catch2/catch.hpp>

namespace boragedoor::testing {

namespace {

/// What the parties said to each other, one line each, with everything that differs from run to
/// run replaced by a name.
class transcript {
public:
  void add(const std::string& who, std::string text) {
    static const std::vector<std::pair<std::regex, std::string>> rules = {
        {std::regex(R"(127\.0\.0\.1:\d+)"), "ADDRESS"},
        {std::regex(R"(bd_[0-9a-f]{64})"), "KEY"},
        {std::regex(R"([0-9a-f]{64})"), "HASH"},
        {std::regex(R"(i0-[0-9a-f]{8}-)"), "i0-BOOT-"},
        {std::regex(R"("key_id":"[0-9a-f]{16}")"), R"("key_id":"KEY-ID")"},
        {std::regex(R"("id":"[0-9a-f]{16}")"), R"("id":"KEY-ID")"},
        {std::regex(R"("proposal_id":"[0-9a-f]+")"), R"("proposal_id":"PROPOSAL")"},
        {std::regex(R"("issued_at":\d+)"), R"("issued_at":TIME)"},
        {std::regex(R"("endpoint_us":\d+)"), R"("endpoint_us":TIME)"},
        {std::regex(R"("fencing_token":\d+)"), R"("fencing_token":TOKEN)"},
        {std::regex(R"("attempt":"\d+\.)"), R"("attempt":"TOKEN.)"},
        {std::regex(R"("received_ms":\d+)"), R"("received_ms":TIME)"},
        {std::regex(R"("window":\d+)"), R"("window":WINDOW)"},
        {std::regex(R"(usage-\d+-)"), "usage-WINDOW-"},
    };
    for (const auto& [pattern, name] : rules) {
      text = std::regex_replace(text, pattern, name);
    }
    while (text.ends_with('\n')) {
      text.pop_back();
    }
    text_ += who + ' ' + std::regex_replace(text, std::regex("\n+"), "\n  ") + '\n';
  }

  [[nodiscard]] const std::string& text() const { return text_; }

private:
  std::string text_;
};

std::string read_expected(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

TEST_CASE("a whole session reads as the expected one") {
  cluster_options options;
  options.instances = 1;
  options.engines = 1;
  options.services = 1;
  options.data_centres = 1;
  options.usage_window_ms = 5000;
  test_cluster cluster(options);
  transcript seen;
  const auto say = [&](const std::string& who, const http_answer& answer) {
    seen.add(who, std::to_string(answer.status) + ' ' + answer.body);
  };
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  REQUIRE(cluster.await_shards());

  say("operator: configuration:", cluster.operate(0, "GET", "/admin/config"));
  say("caller: addresses:", cluster.call(cluster.address_of(0), "GET", "/v1/addresses"));
  const json prompt = {{"model", "planner"}, {"prompt", "north road"}, {"max_tokens", 3}};
  json streamed = prompt;
  streamed["stream"] = true;
  say("caller: whole answer:", cluster.call_with_key(0, "POST", "/v1/completions", prompt, key));
  say("caller: streamed answer:",
      cluster.call_with_key(0, "POST", "/v1/completions", streamed, key));
  say("caller: without a key:",
      cluster.call(cluster.address_of(0), "POST", "/v1/completions", to_text(prompt)));
  say("caller: unknown model:", cluster.call_with_key(0, "POST", "/v1/completions",
                                                      {{"model", "other"}, {"prompt", "x"}}, key));
  say("caller: open route:",
      cluster.call(cluster.address_of(0), "GET", "/v1/services/records/health"));
  const net::headers once = {{"Idempotency-Key", "proposal-1"}};
  say("caller: proposal:",
      cluster.call_with_key(0, "POST", "/v1/services/records/proposals", {{"plan", 7}}, key, once));
  say("caller: the same again:",
      cluster.call_with_key(0, "POST", "/v1/services/records/proposals", {{"plan", 7}}, key, once));
  say("caller: the key for another body:",
      cluster.call_with_key(0, "POST", "/v1/services/records/proposals", {{"plan", 8}}, key, once));
  seen.add("service: executed:", to_text(cluster.services[0]->executed()));

  const json step = {{"model", "planner"},
                     {"weight_version", 1},
                     {"staleness_bound", 2},
                     {"max_tokens", 4},
                     {"groups", json::array({{{"id", "g1"}, {"prompt", "one"}, {"size", 2}}})}};
  const std::string path = "/v1/trainers/tuner/steps/1";
  say("trainer: opens a step:", cluster.call_with_key(0, "PUT", path, step, key));
  say("trainer: opens it again:", cluster.call_with_key(0, "PUT", path, step, key));
  const std::string poll = path + "/batches?after=0&wait_ms=10000";
  say("trainer: first batch:", cluster.call_with_key(0, "GET", poll, json(), key));
  say("trainer: asks again:", cluster.call_with_key(0, "GET", poll, json(), key));
  say("trainer: acknowledges:",
      cluster.call_with_key(0, "POST", path + "/batches/1/ack", json::object(), key));
  say("trainer: nothing follows:",
      cluster.call_with_key(0, "GET", path + "/batches?after=1&wait_ms=0", json(), key));

  const json listed = cluster.operate(0, "GET", "/admin/keys").value();
  const std::string key_id = listed["keys"][0]["key_id"];
  say("operator: withdraws the key:", cluster.operate(0, "DELETE", "/admin/keys/" + key_id));
  say("caller: with the withdrawn key:",
      cluster.call_with_key(0, "POST", "/v1/completions", prompt, key));

  const std::string file = "session_expected.txt";
  if (std::getenv("BORAGEDOOR_WRITE_EXPECTED") != nullptr) {
    std::ofstream(file) << seen.text();
  }
  CHECK(seen.text() == read_expected(file));
}

} // namespace boragedoor::testing
