#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::requests {

/// Largest stored answer body, in bytes.
inline constexpr std::size_t max_stored_answer_bytes = 65'536;

/// claimed: nothing was sent. sent: bytes may have been sent. done: the answer is known.
/// unknown: sent, and the answer will never be known.
enum class once_state { claimed, sent, done, unknown };
std::string_view to_string(once_state state);

/// The answer of a service call.
struct stored_answer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body was larger than the limit and is not kept.
  bool omitted = false;

  friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// The document of key `once/{workspace}/{sha256 of the idempotency key}`.
struct once_record {
  once_state state = once_state::claimed;
  /// SHA-256 of method, path and body, so that a key used for another request is noticed.
  std::string body_hash;
  /// Unique to the claim: instance, boot and a number.
  std::string claim;
  wall_time created{};
  /// When the claimer gives up. Until then a resend is told `in_progress`.
  wall_time deadline{};
  stored_answer answer;

  friend bool operator==(const once_record&, const once_record&) = default;
};

std::string to_text(const once_record& record);
result<once_record> once_record_from_text(std::string_view text);

std::string once_key(std::string_view workspace, std::string_view idempotency_key);

} // namespace boragedoor::requests
