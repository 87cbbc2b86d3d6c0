#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon_context.h"
#include "net/http_types.h"

namespace boragedoor::daemon {

/// What an engine is asked for. The caller's key is never part of it.
struct engine_request {
  /// Id of the attempt, which the engine repeats in each frame.
  std::string attempt;
  net::address target;
  std::string model;
  std::string prompt;
  /// Text of earlier attempts that the engine continues; empty starts afresh.
  std::string resume_text;
  /// Index of the first token that the engine is to send.
  std::uint64_t first_index = 0;
  /// Bound of the whole answer in tokens, earlier attempts included.
  std::int64_t max_tokens = 0;
  int priority = 0;
  std::int64_t seed = 0;
};

/// A token as the engine sent it; `index` counts from 0 within the attempt.
struct engine_frame {
  std::uint64_t index = 0;
  std::string text;
  std::uint64_t weight_version = 0;
};

/// The last frame of a complete stream.
struct engine_completion {
  std::string finish_reason;
  std::vector<std::uint64_t> weight_versions;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

enum class attempt_fault {
  /// The connection was refused, reset or closed before the end marker.
  connection,
  /// No byte within the progress timeout.
  silent,
  /// A frame with another attempt's id, a gap in the indexes or a malformed frame.
  wrong_answer,
  /// The engine answered with an error status and ran nothing.
  refused,
};

struct attempt_failure {
  attempt_fault fault = attempt_fault::connection;
  /// True when no byte of the request was handed to the network.
  bool nothing_sent = false;
  std::string message;
};

struct engine_callbacks {
  std::function<void(const engine_frame&)> on_frame;
  std::function<void(const engine_completion&)> on_complete;
  std::function<void(const attempt_failure&)> on_failure;
};

/// One attempt at one engine: sends the request and checks that each frame belongs to it and that
/// the stream has no gap and an end marker. Destroying the attempt cancels it and closes its
/// connection, on which an answer may still be on its way.
class engine_attempt {
public:
  static std::unique_ptr<engine_attempt>
  start(const daemon_context& context, const engine_request& request, engine_callbacks callbacks);
  ~engine_attempt();
  engine_attempt(const engine_attempt&) = delete;
  engine_attempt& operator=(const engine_attempt&) = delete;
  engine_attempt(engine_attempt&&) = delete;
  engine_attempt& operator=(engine_attempt&&) = delete;

private:
  struct impl;
  explicit engine_attempt(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

} // namespace boragedoor::daemon
