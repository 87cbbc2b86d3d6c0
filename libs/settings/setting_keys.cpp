#include "settings/setting_keys.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

#include <arpa/inet.h>

#include "base/name.h"

namespace boragedoor::settings {

namespace {

using problem_or_none = std::optional<value_problem>;

constexpr std::int64_t day_ms = 24LL * 60 * 60 * 1000;

std::optional<std::int64_t> parse_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

problem_or_none set_integer(std::string_view text, std::int64_t least, std::int64_t most,
                            std::int64_t& target) {
  const auto value = parse_integer(text);
  if (!value || *value < least || *value > most) {
    return value_problem{value ? "out of range" : "not a whole number",
                         "use " + std::to_string(least) + " to " + std::to_string(most)};
  }
  target = *value;
  return std::nullopt;
}

template <auto Group, auto Member, std::int64_t Least>
problem_or_none set_milliseconds(daemon_settings& to, std::string_view text) {
  std::int64_t value = 0;
  auto problem = set_integer(text, Least, day_ms, value);
  if (!problem) {
    (to.*Group).*Member = milliseconds(value);
  }
  return problem;
}

template <auto Member, std::int64_t Least, std::int64_t Most>
problem_or_none set_limit(daemon_settings& to, std::string_view text) {
  std::int64_t value = 0;
  auto problem = set_integer(text, Least, Most, value);
  if (!problem) {
    to.limits.*Member = static_cast<std::size_t>(value);
  }
  return problem;
}

template <auto Group, auto Member>
problem_or_none set_name(daemon_settings& to, std::string_view text) {
  if (!is_name(text)) {
    return value_problem{"not a name", std::string(name_rule)};
  }
  (to.*Group).*Member = text;
  return std::nullopt;
}

template <auto Group, auto Member>
problem_or_none set_text(daemon_settings& to, std::string_view text) {
  (to.*Group).*Member = text;
  return std::nullopt;
}

problem_or_none set_address(std::string_view text, int least_port, net::address& target) {
  const auto colon = text.rfind(':');
  const std::string host(text.substr(0, std::min(colon, text.size())));
  const auto port =
      colon == std::string_view::npos ? std::nullopt : parse_integer(text.substr(colon + 1));
  in_addr number{};
  if (!port || *port < least_port || *port > UINT16_MAX ||
      inet_pton(AF_INET, host.c_str(), &number) != 1) {
    return value_problem{"not an IPv4 address with a port",
                         "write it as 192.0.2.1:7100 with a port from " +
                             std::to_string(least_port) + " to 65535"};
  }
  target = {host, static_cast<std::uint16_t>(*port)};
  return std::nullopt;
}

template <auto Member>
problem_or_none set_listener(daemon_settings& to, std::string_view text) {
  return set_address(text, 0, to.listen.*Member);
}

template <auto Member>
problem_or_none set_platform(daemon_settings& to, std::string_view text) {
  return set_address(text, 1, to.platform.*Member);
}

problem_or_none set_token(daemon_settings& to, std::string_view text) {
  if (!is_lower_hex(text, 64)) {
    return value_problem{"not a SHA-256 digest of 64 lower-case hexadecimal digits",
                         "write the output of: printf %s TOKEN | sha256sum"};
  }
  to.operators.token_sha256 = text;
  return std::nullopt;
}

problem_or_none set_level(daemon_settings& to, std::string_view text) {
  using enum events::severity;
  for (const auto level : {debug, info, warning, error}) {
    if (events::to_string(level) == text) {
      to.events.level = level;
      return std::nullopt;
    }
  }
  return value_problem{"not a severity", "use debug, info, warning or error"};
}

using ds = daemon_settings;
using is = instance_settings;
using ls = listen_settings;
using ps = platform_settings;
using ts = timing_settings;
constexpr auto required = std::nullopt;

constexpr auto keys = std::to_array<setting_key>({
    {"instance", "id", "name", required, "Name of this instance, unique in the fleet.",
     set_name<&ds::instance, &is::id>},
    {"instance", "data_centre", "name", required, "Data centre that the instance runs in.",
     set_name<&ds::instance, &is::data_centre>},
    {"instance", "region", "name", required, "Region of the data centre.",
     set_name<&ds::instance, &is::region>},
    {"listen", "callers", "ip:port", required,
     "Listener for callers, trainers and operators. Port 0 takes any free port.",
     set_listener<&ls::callers>},
    {"listen", "peers", "ip:port", required,
     "Listener for other instances. Port 0 takes any free port.", set_listener<&ls::peers>},
    {"platform", "store", "ip:port", required, "Key-value store.", set_platform<&ps::store>},
    {"platform", "instance_list", "ip:port", required, "List of live and leaving instances.",
     set_platform<&ps::instance_list>},
    {"platform", "ordering", "ip:port", required, "Ordering interface for endpoints.",
     set_platform<&ps::ordering>},
    {"platform", "usage_intake", "ip:port", required, "Intake of usage reports.",
     set_platform<&ps::usage_intake>},
    {"platform", "weight_store", "ip:port", required, "Weight store.",
     set_platform<&ps::weight_store>},
    {"operator", "token_sha256", "64 hex digits", required,
     "SHA-256 of the operator token: `printf %s TOKEN | sha256sum`.", set_token},
    {"events", "file", "path", "-",
     "File that receives events as JSON lines; `-` is standard error, empty writes none.",
     set_text<&ds::events, &events_settings::file>},
    {"events", "level", "severity", "info",
     "Least severity that is recorded: `debug`, `info`, `warning` or `error`.", set_level},
    {"data", "folder", "path", "", "Folder for local state; empty without a disk.",
     set_text<&ds::data, &data_settings::folder>},
    {"limits", "max_header_bytes", "1024..1048576", "16384", "Largest request header.",
     set_limit<&limits_settings::max_header_bytes, 1024, 1048576>},
    {"limits", "max_body_bytes", "1024..67108864", "1048576", "Largest request body.",
     set_limit<&limits_settings::max_body_bytes, 1024, 67108864>},
    {"limits", "max_open_requests", "1..1000000", "4096",
     "Requests that may be open at once; more are refused.",
     set_limit<&limits_settings::max_open_requests, 1, 1000000>},
    {"timing", "lease_ttl", "ms", "6000", "Lifetime of a shard lease without renewal.",
     set_milliseconds<&ds::timing, &ts::lease_ttl, 100>},
    {"timing", "lease_renew", "ms", "2000",
     "Interval of lease renewals; at most half of `lease_ttl`.",
     set_milliseconds<&ds::timing, &ts::lease_renew, 10>},
    {"timing", "heartbeat", "ms", "1000", "Interval of heartbeats to peers.",
     set_milliseconds<&ds::timing, &ts::heartbeat, 10>},
    {"timing", "list_poll", "ms", "2000", "Interval of reading the list of instances.",
     set_milliseconds<&ds::timing, &ts::list_poll, 10>},
    {"timing", "isolation_limit", "ms", "10000",
     "Longest time without evidence of freshness; at least twice `heartbeat`.",
     set_milliseconds<&ds::timing, &ts::isolation_limit, 100>},
    {"timing", "address_keep", "ms", "5000",
     "How long callers may keep an answer of the address lookup.",
     set_milliseconds<&ds::timing, &ts::address_keep, 0>},
    {"timing", "usage_flush", "ms", "1000",
     "Interval of sending usage counters; at most `usage_window`.",
     set_milliseconds<&ds::timing, &ts::usage_flush, 10>},
    {"timing", "usage_window", "ms", "60000",
     "Length of a usage window until a configuration is accepted, which then decides.",
     set_milliseconds<&ds::timing, &ts::usage_window, 1000>},
    {"timing", "usage_grace", "ms", "10000",
     "Time after the end of a usage window in which its figures may arrive.",
     set_milliseconds<&ds::timing, &ts::usage_grace, 0>},
    {"timing", "progress_timeout", "ms", "10000",
     "Longest time without a byte from an endpoint before an attempt counts as silent.",
     set_milliseconds<&ds::timing, &ts::progress_timeout, 100>},
    {"timing", "drain_limit", "ms", "120000",
     "Longest time that a drain waits for running requests.",
     set_milliseconds<&ds::timing, &ts::drain_limit, 0>},
});

} // namespace

std::span<const setting_key> setting_keys() {
  return keys;
}

const setting_key* find_setting(std::string_view section, std::string_view name) {
  const auto* it = std::ranges::find_if(
      keys, [&](const setting_key& key) { return key.section == section && key.name == name; });
  return it == keys.end() ? nullptr : it;
}

bool is_section(std::string_view section) {
  return std::ranges::find(keys, section, &setting_key::section) != keys.end();
}

} // namespace boragedoor::settings
