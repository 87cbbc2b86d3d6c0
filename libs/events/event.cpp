#include "events/event.h"

#include <optional>

namespace boragedoor::events {

namespace {

void put(json& object, const char* name, const std::string& text) {
  if (!text.empty()) {
    object[name] = text;
  }
}

/// Far beyond any real time (285 years), and small enough that sums of a few cannot overflow.
constexpr std::int64_t max_time_us = 1LL << 53;

bool is_time(std::optional<std::int64_t> us) {
  return us && *us >= -max_time_us && *us <= max_time_us;
}

std::optional<event_kind> kind_of(const json& value) {
  const auto number = integer_field(value, "number");
  // The greatest number of the catalogue has four digits; greater ones must not wrap around.
  constexpr std::int64_t greatest = 9999;
  if (!number || *number < 0 || *number > greatest) {
    return std::nullopt;
  }
  return find_kind(static_cast<int>(*number));
}

} // namespace

std::string event_id(const event& it) {
  return it.instance + '/' + it.boot + '/' + std::to_string(it.sequence);
}

json to_json(const event& it) {
  const event_kind& kind = describe(it.number);
  json value = {
      {"number", static_cast<int>(it.number)},
      {"name", kind.name},
      {"severity", to_string(kind.level)},
      {"instance", it.instance},
      {"boot", it.boot},
      {"sequence", it.sequence},
      {"monotonic_us", it.monotonic.time_since_epoch().count()},
      {"wall_us", it.wall.time_since_epoch().count()},
  };
  put(value, "request", it.request);
  put(value, "endpoint", it.endpoint);
  put(value, "workspace", it.workspace);
  put(value, "shard", it.shard);
  put(value, "cause", it.cause);
  if (it.revision != 0) {
    value["revision"] = it.revision;
  }
  if (!it.details.empty()) {
    value["details"] = it.details;
  }
  return value;
}

result<event> event_from_json(const json& value) {
  const auto kind = kind_of(value);
  const auto instance = string_field(value, "instance");
  const auto boot = string_field(value, "boot");
  const auto sequence = integer_field(value, "sequence");
  const auto monotonic = integer_field(value, "monotonic_us");
  const auto wall = integer_field(value, "wall_us");
  if (!kind || !instance || !boot || !sequence || *sequence < 1 || !is_time(monotonic) ||
      !is_time(wall)) {
    return error{error_code::protocol, "not an event: a required field is missing or malformed"};
  }
  event it;
  it.number = kind->number;
  it.instance = *instance;
  it.boot = *boot;
  it.sequence = static_cast<std::uint64_t>(*sequence);
  it.monotonic = time_point(duration(*monotonic));
  it.wall = wall_time(duration(*wall));
  it.request = string_field(value, "request").value_or("");
  it.endpoint = string_field(value, "endpoint").value_or("");
  it.workspace = string_field(value, "workspace").value_or("");
  it.shard = string_field(value, "shard").value_or("");
  it.cause = string_field(value, "cause").value_or("");
  it.revision = static_cast<std::uint64_t>(integer_field(value, "revision").value_or(0));
  if (const auto details = value.find("details"); details != value.end()) {
    if (!details->is_object()) {
      return error{error_code::protocol, "not an event: details is no object"};
    }
    it.details = *details;
  }
  return it;
}

} // namespace boragedoor::events
