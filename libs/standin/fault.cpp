#include "standin/fault.h"

#include <algorithm>
#include <array>
#include <utility>

namespace boragedoor::standin {

namespace {

// How long a crashed stand-in refuses connections when the order names no time.
constexpr std::int64_t default_length_ms = 1000;

constexpr std::array<std::pair<fault_kind, std::string_view>, 13> names{{
    {fault_kind::outage, "outage"},
    {fault_kind::slow, "slow"},
    {fault_kind::lost_answer, "lost_answer"},
    {fault_kind::rate_limit, "rate_limit"},
    {fault_kind::crash, "crash"},
    {fault_kind::stall, "stall"},
    {fault_kind::vanish, "vanish"},
    {fault_kind::silent_connections, "silent_connections"},
    {fault_kind::wrong_attempt, "wrong_attempt"},
    {fault_kind::crossed_attempt, "crossed_attempt"},
    {fault_kind::swap_failure, "swap_failure"},
    {fault_kind::crash_on, "crash_on"},
    {fault_kind::late_delivery, "late_delivery"},
}};

error invalid(std::string message) {
  return {error_code::invalid_argument, std::move(message)};
}

bool mode_is_known(fault_kind kind, std::string_view mode) {
  switch (kind) {
  case fault_kind::outage:
    return mode.empty() || mode == "unavailable" || mode == "refuse";
  case fault_kind::stall:
    return mode.empty() || mode == "no_answer" || mode == "mid_stream";
  default:
    return mode.empty();
  }
}

result<std::int64_t> amount(const json& body, std::string_view name, std::int64_t otherwise) {
  const std::int64_t value = integer_field(body, name).value_or(otherwise);
  if (value < 0 || (body.contains(name) && !integer_field(body, name))) {
    return invalid(std::string(name) + " must be a whole number from 0");
  }
  return value;
}

} // namespace

std::string_view to_string(fault_kind kind) {
  const auto* it = std::find_if(names.begin(), names.end(),
                                [&](const auto& entry) { return entry.first == kind; });
  return it == names.end() ? std::string_view("unknown") : it->second;
}

result<fault> parse_fault(const json& body, time_point now) {
  const std::string name = string_field(body, "kind").value_or("");
  const auto* known = std::find_if(names.begin(), names.end(),
                                   [&](const auto& entry) { return entry.second == name; });
  if (known == names.end()) {
    return invalid("unknown fault kind \"" + name + '"');
  }
  fault it;
  it.kind = known->first;
  BOOST_OUTCOME_TRY(count, amount(body, "count", 0));
  BOOST_OUTCOME_TRY(length, amount(body, "duration_ms", default_length_ms));
  BOOST_OUTCOME_TRY(delay, amount(body, "delay_ms", 0));
  BOOST_OUTCOME_TRY(frames, amount(body, "frames", 1));
  if (body.contains("count")) {
    it.count = count;
  }
  it.length = milliseconds(length);
  // For a crash marker the duration is that of the crash, not of the marker.
  if (body.contains("duration_ms") && it.kind != fault_kind::crash_on) {
    it.end = now + it.length;
  }
  it.delay = milliseconds(delay);
  it.frames = frames;
  it.call = string_field(body, "call").value_or("");
  it.mode = string_field(body, "mode").value_or("");
  it.text = string_field(body, "text").value_or("");
  it.executed = bool_field(body, "executed").value_or(false);
  if (!mode_is_known(it.kind, it.mode)) {
    return invalid("fault kind \"" + name + "\" has no mode \"" + it.mode + '"');
  }
  if (it.kind == fault_kind::crash_on && it.text.empty()) {
    return invalid("crash_on needs a text");
  }
  return it;
}

} // namespace boragedoor::standin
