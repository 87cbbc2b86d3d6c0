#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::standin {

/// What a stand-in can be told to do wrong.
enum class fault_kind {
  /// Calls get 503, or with the mode "refuse" the listening port refuses connections.
  outage,
  /// Calls take effect at once; their answers leave after `delay`.
  slow,
  /// Calls take effect, then the connection is closed without an answer.
  lost_answer,
  /// Calls get 429 and do not take effect.
  rate_limit,
  /// The process dies at once: all connections drop, the port refuses for `length`, and what the
  /// stand-in keeps in memory only is lost.
  crash,
  /// Calls are accepted and never answered; with the mode "mid_stream" a streamed answer stops
  /// after `frames` frames.
  stall,
  /// The stand-in dies for good.
  vanish,
  /// Connections that are open now go silent; new ones work.
  silent_connections,
  /// Answers carry an attempt id that nobody sent.
  wrong_attempt,
  /// Answers carry the attempt id of the call before.
  crossed_attempt,
  /// Orders to load a version fail.
  swap_failure,
  /// A prompt that contains `text` crashes the engine when it starts to run.
  crash_on,
  /// Calls take effect only after `delay`, even when their caller has left.
  late_delivery,
};

std::string_view to_string(fault_kind kind);

/// One fault as a test ordered it.
struct fault {
  fault_kind kind = fault_kind::outage;
  /// Calls that it still applies to; nothing means all calls until `end`.
  std::optional<std::int64_t> count;
  /// When it ends by itself; nothing means when it is cleared.
  std::optional<time_point> end;
  duration delay = duration::zero();
  /// How long a crash or a refusing outage lasts.
  duration length = duration::zero();
  /// Kind of call that it applies to, as in GET /stats; empty means every kind.
  std::string call;
  std::string mode;
  std::string text;
  std::int64_t frames = 1;
  /// Whether a stalled call takes effect.
  bool executed = false;
};

/// Reads the body of POST /fault. Fails with `invalid_argument` on an unknown kind or mode, a
/// negative number or a missing `text` of `crash_on`.
result<fault> parse_fault(const json& body, time_point now);

} // namespace boragedoor::standin
