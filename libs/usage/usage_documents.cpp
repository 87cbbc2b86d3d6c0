#include "usage/usage_documents.h"

#include <charconv>
#include <optional>

#include "base/json_fields.h"

namespace boragedoor::usage {

namespace {

error malformed(std::string_view what) {
  return error{error_code::protocol, std::string(what) + " is malformed"};
}

/// Object keys are strings; window numbers are written in decimal without leading zeros.
std::optional<std::uint64_t> window_number(const std::string& text) {
  std::uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || last != end || std::to_string(n) != text) {
    return std::nullopt;
  }
  return n;
}

/// Reads an object from window number to something that `read_value` reads.
template <class Value, class ReadValue>
result<std::map<std::uint64_t, Value>> read_windows(const json& object, const char* name,
                                                    ReadValue read_value) {
  std::map<std::uint64_t, Value> windows;
  if (!object.is_object() || !object.contains(name) || !object[name].is_object()) {
    return malformed("the list of windows");
  }
  for (const auto& [key, value] : object[name].items()) {
    const auto n = window_number(key);
    if (!n) {
      return malformed("a window number");
    }
    BOOST_OUTCOME_TRY(read, read_value(value));
    windows.emplace(*n, std::move(read));
  }
  return windows;
}

json source_json(const usage_source& source, std::uint32_t shard) {
  return {{"instance", source.instance}, {"boot", source.boot}, {"shard", shard}};
}

bool read_source(const json& value, usage_source& source, std::uint32_t& shard) {
  return read_field(value, "instance", source.instance) && read_field(value, "boot", source.boot) &&
         read_field(value, "shard", shard) && shard < shard_count;
}

} // namespace

json to_json(const usage_flush& flush) {
  json value = source_json(flush.source, flush.shard);
  value["sequence"] = flush.sequence;
  json windows = json::object();
  for (const auto& [n, table] : flush.windows) {
    windows[std::to_string(n)] = to_json(table);
  }
  value["windows"] = std::move(windows);
  return value;
}

result<usage_flush> usage_flush_from_json(const json& value) {
  usage_flush flush;
  if (!read_source(value, flush.source, flush.shard) ||
      !read_field(value, "sequence", flush.sequence)) {
    return malformed("usage_flush");
  }
  BOOST_OUTCOME_TRY(windows, read_windows<usage_table>(value, "windows", usage_table_from_json));
  flush.windows = std::move(windows);
  return flush;
}

json to_json(const usage_flush_merged& it) {
  json value = source_json(it.source, it.shard);
  value["sequence"] = it.sequence;
  value["token"] = it.token;
  return value;
}

result<usage_flush_merged> usage_flush_merged_from_json(const json& value) {
  usage_flush_merged it;
  if (!read_source(value, it.source, it.shard) || !read_field(value, "sequence", it.sequence) ||
      !read_field(value, "token", it.token)) {
    return malformed("usage_flush_merged");
  }
  return it;
}

json to_json(const usage_window_frozen& it) {
  json value = source_json(it.source, it.shard);
  value["window"] = it.window;
  value["included"] = to_json(it.included);
  return value;
}

result<usage_window_frozen> usage_window_frozen_from_json(const json& value) {
  usage_window_frozen it;
  if (!read_source(value, it.source, it.shard) || !read_field(value, "window", it.window) ||
      !value.contains("included")) {
    return malformed("usage_window_frozen");
  }
  BOOST_OUTCOME_TRY(table, usage_table_from_json(value["included"]));
  it.included = std::move(table);
  return it;
}

std::string to_text(const usage_checkpoint& it) {
  json open = json::object();
  for (const auto& [n, counters] : it.open) {
    open[std::to_string(n)] = to_json(counters);
  }
  return boragedoor::to_text(
      json{{"token", it.token}, {"open", std::move(open)}, {"unreported", it.unreported}});
}

result<usage_checkpoint> usage_checkpoint_from_text(std::string_view text) {
  BOOST_OUTCOME_TRY(value, parse_json(text));
  usage_checkpoint it;
  const json* unreported = array_field(value, "unreported");
  if (!read_field(value, "token", it.token) || unreported == nullptr) {
    return malformed("the usage checkpoint");
  }
  for (const json& n : *unreported) {
    if (!n.is_number_unsigned()) {
      return malformed("the usage checkpoint");
    }
    it.unreported.insert(n.get<std::uint64_t>());
  }
  BOOST_OUTCOME_TRY(open, read_windows<window_counters>(value, "open", window_counters_from_json));
  it.open = std::move(open);
  return it;
}

std::string to_text(const frozen_window& it) {
  return boragedoor::to_text(json{{"shard", it.shard},
                                  {"window", it.window},
                                  {"report_id", it.report_id},
                                  {"included", to_json(it.included)}});
}

result<frozen_window> frozen_window_from_text(std::string_view text) {
  BOOST_OUTCOME_TRY(value, parse_json(text));
  frozen_window it;
  const bool ok = read_field(value, "shard", it.shard) && read_field(value, "window", it.window) &&
                  read_field(value, "report_id", it.report_id) && value.contains("included") &&
                  it.report_id == report_id(it.window, it.shard);
  if (!ok) {
    return malformed("the frozen usage window");
  }
  BOOST_OUTCOME_TRY(included, window_counters_from_json(value["included"]));
  it.included = std::move(included);
  return it;
}

std::string checkpoint_key(std::uint32_t shard) {
  return "usage/" + std::to_string(shard) + "/open";
}

std::string frozen_key(std::uint64_t window, std::uint32_t shard) {
  return "usage/" + std::to_string(window) + "/" + std::to_string(shard);
}

std::string report_id(std::uint64_t window, std::uint32_t shard) {
  return "usage-" + std::to_string(window) + "-" + std::to_string(shard);
}

std::string report_body(const frozen_window& it) {
  json rows = json::array();
  for (const auto& [key, figures] : total(it.included)) {
    json row = {{"workspace", key.workspace},
                {"class", key.request_class},
                {"requests", figures.requests},
                {"prompt_tokens", figures.prompt_tokens},
                {"completion_tokens", figures.completion_tokens},
                {"endpoint_us", figures.endpoint_us}};
    if (key.late_from != 0) {
      row["late_from"] = key.late_from;
    }
    rows.push_back(std::move(row));
  }
  return boragedoor::to_text(json{{"report_id", it.report_id},
                                  {"window", it.window},
                                  {"shard", it.shard},
                                  {"figures", std::move(rows)}});
}

} // namespace boragedoor::usage
