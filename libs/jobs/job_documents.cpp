#include "jobs/job_documents.h"

#include <charconv>

#include <fmt/format.h>

#include "base/json.h"
#include "base/json_binary.h"
#include "base/json_fields.h"
#include "base/json_list.h"
#include "jobs/job_memory.h"

namespace boragedoor::jobs {

namespace {

constexpr std::string_view key_prefix = "boragedoor/";
constexpr std::string_view items_field = "items";
/// Zero-padded width of positions, enough for the items of any job. The store sorts keys as text.
constexpr int position_digits = 6;

std::int64_t to_microseconds(wall_time at) {
  return at.time_since_epoch().count();
}

bool read_time(const json& object, std::string_view name, wall_time& to) {
  const auto value = integer_field(object, name);
  if (value) {
    to = wall_time(duration(*value));
  }
  return value.has_value();
}

bool read_versions(const json& from, std::vector<std::uint64_t>& to) {
  const json* versions = array_field(from, "versions");
  if (versions == nullptr) {
    return false;
  }
  for (const json& version : *versions) {
    if (!version.is_number_unsigned()) {
      return false;
    }
    to.push_back(version.get<std::uint64_t>());
  }
  return true;
}

json to_json(const job_item& it) {
  json headers = json::array();
  for (const auto& [name, value] : it.headers) {
    headers.push_back({name, value});
  }
  json out = {{"id", it.id},
              {"path", it.path},
              {"headers", std::move(headers)},
              {"body", binary(it.body)},
              {"model", it.model},
              {"group", it.group},
              {"expected", it.expected_tokens}};
  if (it.reward) {
    out["reward"] = {{"id", it.reward->id},
                     {"host", it.reward->host},
                     {"path", it.reward->path},
                     {"body", binary(it.reward->body)}};
  }
  return out;
}

bool read_item(const json& from, job_item& to) {
  const auto expected = integer_field(from, "expected");
  if (!read_field(from, "id", to.id) || !read_field(from, "path", to.path) ||
      !read_binary(from, "body", to.body) || !read_field(from, "model", to.model) ||
      !read_field(from, "group", to.group) || !expected) {
    return false;
  }
  to.expected_tokens = *expected;
  const json* headers = array_field(from, "headers");
  if (headers == nullptr) {
    return false;
  }
  for (const json& it : *headers) {
    if (!it.is_array() || it.size() != 2 || !it[0].is_string() || !it[1].is_string()) {
      return false;
    }
    to.headers.emplace_back(it[0].get<std::string>(), it[1].get<std::string>());
  }
  const auto reward = from.find("reward");
  if (reward == from.end()) {
    return true;
  }
  to.reward.emplace();
  return read_field(*reward, "id", to.reward->id) && read_field(*reward, "host", to.reward->host) &&
         read_field(*reward, "path", to.reward->path) &&
         read_binary(*reward, "body", to.reward->body);
}

error malformed_document(std::string_view what) {
  return {error_code::protocol, fmt::format("stored {} document is malformed", what)};
}

} // namespace

std::string to_document(const job& contents) {
  const json fields = {{"id", contents.id},
                       {"workspace", contents.workspace},
                       {"route", contents.route},
                       {"host", contents.host},
                       {"step", contents.step},
                       {"minimum_version", contents.minimum_version},
                       {"single_version", contents.single_version},
                       {"desired_groups", contents.desired_groups},
                       {"max_attempts", contents.max_attempts},
                       {"submitted", to_microseconds(contents.submitted)},
                       {"due", to_microseconds(contents.due)},
                       {"give_up", to_microseconds(contents.give_up)}};
  std::string document;
  append_cbor_list(document, fields, items_field, contents.items.size(),
                   [&contents](std::size_t n) { return to_json(contents.items[n]); });
  return document;
}

result<job> job_from_document(std::string_view document, std::size_t max_bytes) {
  job it;
  std::size_t bytes = 0;
  const auto parsed = parse_cbor_list(document, items_field, [&](const json& from) {
    if (!read_item(from, it.items.emplace_back())) {
      return false;
    }
    bytes += item_bytes(it.items.back());
    return bytes <= max_bytes;
  });
  if (bytes > max_bytes) {
    return error{error_code::overloaded, "the job takes more memory than there is"};
  }
  if (!parsed) {
    return parsed.error();
  }
  const json& from = parsed.value();
  const auto attempts = integer_field(from, "max_attempts");
  if (!read_field(from, "id", it.id) || !read_field(from, "workspace", it.workspace) ||
      !read_field(from, "route", it.route) || !read_field(from, "host", it.host) ||
      !read_field(from, "step", it.step) ||
      !read_field(from, "minimum_version", it.minimum_version) ||
      !read_field(from, "single_version", it.single_version) ||
      !read_field(from, "desired_groups", it.desired_groups) ||
      !read_time(from, "submitted", it.submitted) || !read_time(from, "due", it.due) ||
      !read_time(from, "give_up", it.give_up) || !attempts || !from.contains(items_field)) {
    return malformed_document("job");
  }
  it.max_attempts = static_cast<int>(*attempts);
  return it;
}

std::string to_document(const job_record& record) {
  return to_cbor({{"id", record.id},
                  {"workspace", record.workspace},
                  {"total", record.total},
                  {"runner", record.runner},
                  {"ended", record.ended},
                  {"submitted", to_microseconds(record.submitted)},
                  {"model", record.model}});
}

result<job_record> record_from_document(std::string_view document) {
  const auto parsed = parse_cbor(document);
  if (!parsed) {
    return parsed.error();
  }
  const json& from = parsed.value();
  job_record it;
  if (!read_field(from, "id", it.id) || !read_field(from, "workspace", it.workspace) ||
      !read_field(from, "total", it.total) || !read_field(from, "runner", it.runner) ||
      !read_field(from, "ended", it.ended) || !read_time(from, "submitted", it.submitted)) {
    return malformed_document("job record");
  }
  // Records of earlier releases do not name the model.
  read_field(from, "model", it.model);
  return it;
}

std::vector<std::span<const item_result>> split_results(std::span<const item_result> results,
                                                        std::size_t max_bytes) {
  std::vector<std::span<const item_result>> parts;
  std::size_t first = 0;
  std::size_t bytes = 0;
  for (std::size_t n = 0; n < results.size(); ++n) {
    const std::size_t size = results[n].text.size();
    if (n > first && bytes + size > max_bytes) {
      parts.push_back(results.subspan(first, n - first));
      first = n;
      bytes = 0;
    }
    bytes += size;
  }
  if (first < results.size()) {
    parts.push_back(results.subspan(first));
  }
  return parts;
}

std::string to_document(std::span<const item_result> results) {
  json out = json::array();
  for (const item_result& it : results) {
    out.push_back({{"id", it.id},
                   {"done", it.state == item_state::done},
                   {"text", binary(it.text)},
                   {"versions", it.versions},
                   {"score", it.score}});
  }
  return to_cbor(out);
}

result<std::vector<item_result>> results_from_document(std::string_view document) {
  const auto parsed = parse_cbor(document);
  if (!parsed) {
    return parsed.error();
  }
  if (!parsed.value().is_array()) {
    return malformed_document("results");
  }
  std::vector<item_result> list;
  for (const json& from : parsed.value()) {
    item_result it;
    bool done = false;
    if (!read_field(from, "id", it.id) || !read_field(from, "done", done) ||
        !read_binary(from, "text", it.text) || !read_field(from, "score", it.score) ||
        !read_versions(from, it.versions)) {
      return malformed_document("results");
    }
    it.state = done ? item_state::done : item_state::terminated;
    list.push_back(std::move(it));
  }
  return list;
}

std::string to_document(std::span<const item_progress> texts) {
  json out = json::array();
  for (const item_progress& it : texts) {
    out.push_back({{"id", it.id},
                   {"text", binary(it.text)},
                   {"last_event", it.last_event},
                   {"versions", it.versions},
                   {"software", it.software}});
    if (it.unverified) {
      out.back()["endpoint"] = it.unverified->endpoint;
      out.back()["process_start_ms"] = it.unverified->start_ms;
    }
  }
  return to_cbor(out);
}

result<std::vector<item_progress>> progress_from_document(std::string_view document) {
  const auto parsed = parse_cbor(document);
  if (!parsed) {
    return parsed.error();
  }
  if (!parsed.value().is_array()) {
    return malformed_document("progress");
  }
  std::vector<item_progress> list;
  for (const json& from : parsed.value()) {
    item_progress it;
    if (!read_field(from, "id", it.id) || !read_binary(from, "text", it.text) ||
        !read_field(from, "last_event", it.last_event) || !read_versions(from, it.versions)) {
      return malformed_document("progress");
    }
    // Documents of earlier releases do not name the software. `job_run` ignores such texts.
    read_field(from, "software", it.software);
    // Nor do they name the process, as if it were verified.
    if (routing::endpoint_process source; read_field(from, "endpoint", source.endpoint)) {
      source.start_ms = integer_field(from, "process_start_ms").value_or(0);
      it.unverified = std::move(source);
    }
    list.push_back(std::move(it));
  }
  return list;
}

std::string record_prefix() {
  return fmt::format("{}jobs/", key_prefix);
}

std::string record_key(std::string_view job) {
  return fmt::format("{}{}", record_prefix(), job);
}

std::string contents_key(std::string_view job) {
  return fmt::format("{}contents/{}", key_prefix, job);
}

std::string progress_key(std::string_view job) {
  return fmt::format("{}progress/{}", key_prefix, job);
}

std::string results_prefix(std::string_view job) {
  return fmt::format("{}results/{}/", key_prefix, job);
}

std::string results_key(std::string_view job, std::size_t end) {
  return fmt::format("{}{:0{}}", results_prefix(job), end, position_digits);
}

result<std::size_t> parse_results_key(std::string_view key) {
  const std::string_view digits = key.substr(key.rfind('/') + 1);
  std::size_t value = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    return error{error_code::protocol,
                 fmt::format("store key {} does not end in a result position", key)};
  }
  return value;
}

} // namespace boragedoor::jobs
