#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "usage/usage_figures.h"

namespace boragedoor::usage {

/// An instance tells the shard's holder its cumulative counters. The same message any number of
/// times, in any order, has the effect of the one with the highest sequence.
struct usage_flush {
  usage_source source;
  std::uint32_t shard = 0;
  std::uint64_t sequence = 0;
  /// Windows that changed since the holder last confirmed them.
  std::map<std::uint64_t, usage_table> windows;

  friend bool operator==(const usage_flush&, const usage_flush&) = default;
};

json to_json(const usage_flush& flush);
result<usage_flush> usage_flush_from_json(const json& value);

/// The holder has merged a flush.
struct usage_flush_merged {
  usage_source source;
  std::uint32_t shard = 0;
  std::uint64_t sequence = 0;
  /// The holder's fencing token; a new one makes the instance send everything again.
  std::uint64_t token = 0;
};

json to_json(const usage_flush_merged& it);
result<usage_flush_merged> usage_flush_merged_from_json(const json& value);

/// The holder tells an instance that a window is frozen, and with which of its figures.
struct usage_window_frozen {
  usage_source source;
  std::uint32_t shard = 0;
  std::uint64_t window = 0;
  usage_table included;
};

json to_json(const usage_window_frozen& it);
result<usage_window_frozen> usage_window_frozen_from_json(const json& value);

/// The document of key `usage/{n}/open`.
struct usage_checkpoint {
  std::uint64_t token = 0;
  std::map<std::uint64_t, window_counters> open;
  /// Frozen windows whose report is not confirmed.
  std::set<std::uint64_t> unreported;

  friend bool operator==(const usage_checkpoint&, const usage_checkpoint&) = default;
};

std::string to_text(const usage_checkpoint& it);
result<usage_checkpoint> usage_checkpoint_from_text(std::string_view text);

/// The document of key `usage/{window}/{n}`: written once, never changed. It must be kept for as
/// long as an instance may still hold counters of the window.
struct frozen_window {
  std::uint32_t shard = 0;
  std::uint64_t window = 0;
  std::string report_id;
  window_counters included;

  friend bool operator==(const frozen_window&, const frozen_window&) = default;
};

std::string to_text(const frozen_window& it);
result<frozen_window> frozen_window_from_text(std::string_view text);

std::string checkpoint_key(std::uint32_t shard);
std::string frozen_key(std::uint64_t window, std::uint32_t shard);
/// The same for every report of a window, so that the intake recognises a repeat.
std::string report_id(std::uint64_t window, std::uint32_t shard);
/// The body for `POST /usage`; depends on the frozen document only.
std::string report_body(const frozen_window& it);

} // namespace boragedoor::usage
