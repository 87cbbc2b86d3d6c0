#include "usage/usage_figures.h"

#include <algorithm>

#include "base/hash.h"
#include "base/json_fields.h"

namespace boragedoor::usage {

namespace {

constexpr std::size_t row_fields = 7;

error malformed(std::string_view what) {
  return error{error_code::protocol, "usage document: " + std::string(what)};
}

bool is_number(const json& value) {
  return value.is_number_unsigned();
}

/// A row is an array, because figures of hundreds of instances share one store value.
bool good_row(const json& row) {
  return row.is_array() && row.size() == row_fields && row[0].is_string() && row[1].is_string() &&
         std::all_of(row.begin() + 2, row.end(), is_number);
}

} // namespace

std::uint32_t shard_of(std::string_view workspace) {
  return static_cast<std::uint32_t>(hash64(workspace) % shard_count);
}

std::uint64_t window_of(wall_time at, duration length) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, at.time_since_epoch() / length));
}

usage_figures& usage_figures::operator+=(const usage_figures& it) {
  requests += it.requests;
  prompt_tokens += it.prompt_tokens;
  completion_tokens += it.completion_tokens;
  endpoint_us += it.endpoint_us;
  return *this;
}

usage_figures& usage_figures::operator-=(const usage_figures& it) {
  requests -= std::min(requests, it.requests);
  prompt_tokens -= std::min(prompt_tokens, it.prompt_tokens);
  completion_tokens -= std::min(completion_tokens, it.completion_tokens);
  endpoint_us -= std::min(endpoint_us, it.endpoint_us);
  return *this;
}

void add(usage_table& table, const usage_table& it) {
  for (const auto& [key, figures] : it) {
    table[key] += figures;
  }
}

usage_table difference(const usage_table& table, const usage_table& included) {
  usage_table rest;
  for (const auto& [key, figures] : table) {
    usage_figures left = figures;
    if (const auto it = included.find(key); it != included.end()) {
      left -= it->second;
    }
    if (left != usage_figures{}) {
      rest[key] = left;
    }
  }
  return rest;
}

json to_json(const usage_table& table) {
  json rows = json::array();
  for (const auto& [key, it] : table) {
    rows.push_back(json::array({key.workspace, key.request_class, key.late_from, it.requests,
                                it.prompt_tokens, it.completion_tokens, it.endpoint_us}));
  }
  return rows;
}

result<usage_table> usage_table_from_json(const json& value) {
  if (!value.is_array() || !std::all_of(value.begin(), value.end(), good_row)) {
    return malformed("rows are not as expected");
  }
  usage_table table;
  for (const json& row : value) {
    usage_key key{row[0].get<std::string>(), row[1].get<std::string>(),
                  row[2].get<std::uint64_t>()};
    const usage_figures figures{row[3].get<std::uint64_t>(), row[4].get<std::uint64_t>(),
                                row[5].get<std::uint64_t>(), row[6].get<std::uint64_t>()};
    if (!table.emplace(std::move(key), figures).second) {
      return malformed("a row is there twice");
    }
  }
  return table;
}

json to_json(const window_counters& counters) {
  json list = json::array();
  for (const auto& [source, it] : counters) {
    list.push_back({{"instance", source.instance},
                    {"boot", source.boot},
                    {"sequence", it.sequence},
                    {"rows", to_json(it.table)}});
  }
  return list;
}

result<window_counters> window_counters_from_json(const json& value) {
  if (!value.is_array()) {
    return malformed("sources are not a list");
  }
  window_counters counters;
  for (const json& it : value) {
    usage_source source;
    source_counters read;
    const bool ok = read_field(it, "instance", source.instance) &&
                    read_field(it, "boot", source.boot) &&
                    read_field(it, "sequence", read.sequence) && it.contains("rows");
    if (!ok) {
      return malformed("a source lacks a field");
    }
    BOOST_OUTCOME_TRY(table, usage_table_from_json(it["rows"]));
    read.table = std::move(table);
    if (!counters.emplace(std::move(source), std::move(read)).second) {
      return malformed("a source is there twice");
    }
  }
  return counters;
}

usage_table total(const window_counters& counters) {
  usage_table sum;
  for (const auto& [source, it] : counters) {
    add(sum, it.table);
  }
  return sum;
}

} // namespace boragedoor::usage
