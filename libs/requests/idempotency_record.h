#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::requests {

/// Maximum size of a stored response body.
inline constexpr std::size_t max_stored_response_bytes = 65'536;

/// State of the request that an idempotency key belongs to.
/// claimed: nothing has been sent. sent: bytes may have been sent. done: the response is known.
/// unknown: the request was sent, and its response will never be known.
enum class idempotency_state { claimed, sent, done, unknown };
std::string_view to_string(idempotency_state state);

/// The endpoint's response to a request.
struct stored_response {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body exceeded `max_stored_response_bytes` and is not stored.
  bool omitted = false;

  friend bool operator==(const stored_response&, const stored_response&) = default;
};

/// The document stored under the key `once/{workspace}/{sha256 of the idempotency key}`.
struct idempotency_record {
  idempotency_state state = idempotency_state::claimed;
  /// SHA-256 of method, path and body. Detects a key that is reused for a different request.
  std::string body_hash;
  /// Unique id of the claim: instance id, boot id and a counter.
  std::string claim;
  wall_time created{};
  /// When the claiming call times out. Until then, resends are answered with `in_progress`.
  wall_time deadline{};
  stored_response response;

  friend bool operator==(const idempotency_record&, const idempotency_record&) = default;
};

std::string to_text(const idempotency_record& record);
result<idempotency_record> idempotency_record_from_text(std::string_view text);

/// Returns the store key of the record for an idempotency key.
std::string idempotency_record_key(std::string_view workspace, std::string_view idempotency_key);

} // namespace boragedoor::requests
