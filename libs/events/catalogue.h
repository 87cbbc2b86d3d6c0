#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace boragedoor::events {

/// How much attention an event needs.
enum class severity { debug, info, warning, error };

std::string_view to_string(severity level);

/// Numbers of all events. A number is never reused; docs/events.md lists them with the meaning.
enum class event_number : int {
  daemon_started = 1001,
  daemon_ready = 1002,
  drain_started = 1003,
  drain_finished = 1004,
  instance_isolated = 1005,
  instance_evidence_restored = 1006,
  instance_retired = 1007,
  settings_reloaded = 1008,
  log_lines_dropped = 1009,

  configuration_applied = 1101,
  configuration_proposed = 1102,
  configuration_rejected = 1103,
  key_issued = 1104,
  key_withdrawn = 1105,

  lease_acquired = 1201,
  lease_lost = 1202,
  lease_released = 1203,
  takeover_waiting = 1204,
  takeover_cleared = 1205,
  order_sent = 1206,
  order_confirmed = 1207,
  order_refused = 1208,

  peer_connected = 1301,
  peer_disconnected = 1302,
  membership_changed = 1303,

  request_accepted = 1401,
  request_refused = 1402,
  attempt_started = 1403,
  attempt_failed = 1404,
  request_finished = 1405,
  request_cancelled = 1406,
  request_retried = 1407,
  request_quarantined = 1408,
  attempt_hedged = 1409,
  stream_not_recorded = 1410,
  exchange_ended_for_memory = 1411,
  response_skipped = 1412,
  connection_closed_at_limit = 1413,

  endpoint_added = 1501,
  endpoint_draining = 1502,
  endpoint_removed = 1503,
  endpoint_set_aside = 1504,
  endpoint_restored = 1505,
  endpoint_limited = 1506,
  endpoint_limit_ended = 1507,
  permits_unanswered = 1508,
  endpoint_crashed = 1509,
  endpoints_unreachable = 1510,
  endpoints_reachable = 1511,
  crash_checked = 1512,
  crash_not_recorded = 1513,
  evacuation_started = 1514,
  evacuation_complete = 1515,
  evacuation_ended = 1516,

  step_opened = 1601,
  batch_committed = 1602,
  batch_delivered = 1603,
  batch_acknowledged = 1604,
  batch_voided = 1605,
  weights_announced = 1606,
  weights_swapped = 1607,
  weights_swap_failed = 1608,
  job_accepted = 1611,
  job_ended = 1612,
  job_taken_over = 1613,
  job_refused = 1614,
  item_started = 1615,
  item_ended = 1616,
  item_scored = 1617,
  results_listed = 1618,
  results_read = 1619,
  text_discarded = 1620,

  usage_window_frozen = 1701,
  usage_window_reported = 1702,
  usage_late_fact = 1703,

  store_unavailable = 1801,
  store_available = 1802,
  store_readback = 1803,
  store_document_damaged = 1804,
  store_call_failed = 1805,
  watch_source_changed = 1806,
  store_path_changed = 1807,
};

/// What the catalogue says about one event.
struct event_kind {
  event_number number;
  severity level;
  std::string_view name;
  std::string_view meaning;
};

/// All events in the order of their numbers.
std::span<const event_kind> catalogue();

/// Looks up one event.
const event_kind& describe(event_number number);

/// Looks up an event by its decimal number, for readers of event files.
std::optional<event_kind> find_kind(int number);

} // namespace boragedoor::events
