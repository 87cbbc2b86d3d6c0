#include "daemon/open_call.h"

#include <algorithm>
#include <utility>

#include <catch2/catch.hpp>

namespace boragedoor::testing {

namespace {

open_call complete(test_cluster& cluster, std::size_t instance, const std::string& prompt,
                   int max_tokens, const std::string& key, bool stream) {
  return {
      cluster,
      cluster.address_of(instance),
      "POST",
      "/v1/completions",
      {{"model", "planner"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}},
      {{"Authorization", "Bearer " + key}}};
}

} // namespace

open_call::open_call(test_cluster& cluster, const net::address& target, const std::string& method,
                     const std::string& path, const json& body, net::headers fields) {
  net::http_call_spec spec;
  spec.target = target;
  spec.method = method;
  spec.path = path;
  spec.body = to_text(body);
  spec.fields = std::move(fields);
  spec.progress_timeout = seconds(30);
  // The callbacks may outlive this object, so they share the state.
  net::http_callbacks callbacks;
  callbacks.on_chunk = [it = state_](std::string_view data) { it->answer.body += data; };
  callbacks.on_reply = [it = state_](const net::http_reply& reply) {
    it->answer.status = reply.status;
    it->answer.fields = reply.fields;
    it->answer.body += reply.body;
    it->done = true;
  };
  callbacks.on_failure = [it = state_](const net::http_failure& failure) {
    it->answer.failure = failure;
    it->done = true;
  };
  cluster.http().send(std::move(spec), std::move(callbacks));
}

open_call open_call::stream(test_cluster& cluster, std::size_t instance, const std::string& prompt,
                            int max_tokens, const std::string& key) {
  return complete(cluster, instance, prompt, max_tokens, key, true);
}

open_call open_call::whole(test_cluster& cluster, std::size_t instance, const std::string& prompt,
                           int max_tokens, const std::string& key) {
  return complete(cluster, instance, prompt, max_tokens, key, false);
}

std::vector<json> open_call::events() const {
  std::vector<json> list;
  constexpr std::string_view start = "data: ";
  const std::string& body = state_->answer.body;
  for (std::size_t from = 0; from < body.size();) {
    const auto end = body.find("\n\n", from);
    if (end == std::string::npos) {
      break;
    }
    const auto event = parse_json(body.substr(from + start.size(), end - from - start.size()));
    if (event && event.value().is_object()) {
      list.push_back(event.value());
    }
    from = end + 2;
  }
  return list;
}

std::string open_call::text() const {
  std::string text;
  for (const json& it : events()) {
    if (it.contains("choices")) {
      text += it["choices"][0]["text"].get<std::string>();
    }
  }
  return text;
}

std::vector<std::int64_t> open_call::frame_versions() const {
  std::vector<std::int64_t> list;
  for (const json& it : events()) {
    if (it.contains("choices") && !it["choices"][0]["text"].get<std::string>().empty()) {
      list.push_back(integer_field(it, "weight_version").value_or(0));
    }
  }
  return list;
}

bool open_call::is_whole() const {
  return state_->done && !state_->answer.failure && state_->answer.status == 200 &&
         state_->answer.body.ends_with("data: [DONE]\n\n");
}

std::string open_call::error_code() const {
  for (const json& it : events()) {
    if (it.contains("error")) {
      return string_field(it["error"], "code").value_or("");
    }
  }
  return state_->answer.error_code();
}

std::string text_of(const http_answer& answer) {
  const auto body = parse_json(answer.body);
  return answer.status == 200 && body && body.value().contains("choices")
             ? body.value()["choices"][0]["text"].get<std::string>()
             : std::string();
}

std::int64_t calls_of(const standin::stand_in& it, const std::string& kind) {
  return integer_field(it.http().stats()["calls"], kind).value_or(0);
}

void start_fault(test_cluster& cluster, standin::stand_in& it, const json& body) {
  it.http().apply(standin::parse_fault(body, cluster.loop().now()).value());
}

issued_key issue(test_cluster& cluster, const std::string& workspace) {
  const auto answer = cluster.operate(0, "POST", "/admin/keys", {{"workspace", workspace}});
  INFO(answer.body);
  REQUIRE(answer.status == 200);
  const json body = answer.value();
  REQUIRE(cluster.await_revision(body["revision"].get<std::uint64_t>()));
  return {body["key"], body["key_id"]};
}

int holder_of(test_cluster& cluster, std::size_t ask, const std::string& shard) {
  const json answer = cluster.operate(ask, "GET", "/admin/instances").value();
  for (const json& row : answer["instances"]) {
    const json shards = row.value("shards", json::array());
    if (std::ranges::find(shards, json(shard)) != shards.end()) {
      return std::stoi(row["id"].get<std::string>().substr(1));
    }
  }
  return -1;
}

} // namespace boragedoor::testing
