#include "requests/idempotency_record.h"

#include <algorithm>
#include <array>
#include <limits>

#include "base/hash.h"
#include "base/json_fields.h"

namespace boragedoor::requests {

namespace {

constexpr std::array<std::string_view, 4> state_names = {"claimed", "sent", "done", "unknown"};

std::int64_t to_ms(wall_time at) {
  return to_milliseconds(at);
}

bool read_time(const json& value, std::string_view name, wall_time& time) {
  // Later than any real time, and small enough not to overflow when converted to microseconds.
  constexpr std::int64_t max_ms = std::int64_t{1} << 50;
  const auto it = integer_field(value, name);
  if (!it || *it < 0 || *it > max_ms) {
    return false;
  }
  time = wall_time(milliseconds(*it));
  return true;
}

bool read_state(const json& value, idempotency_state& state) {
  const auto name = string_field(value, "state");
  const auto* it = std::ranges::find(state_names, name.value_or(""));
  if (it == state_names.end()) {
    return false;
  }
  state = static_cast<idempotency_state>(it - state_names.begin());
  return true;
}

bool read_response(const json& value, stored_response& response) {
  const auto status = integer_field(value, "status");
  if (!status || *status < 100 || *status > 999) {
    return false;
  }
  response.status = static_cast<int>(*status);
  return read_field(value, "content_type", response.content_type) &&
         read_field(value, "body", response.body) && read_field(value, "omitted", response.omitted);
}

/// Encodes a body in hexadecimal, because a body can contain bytes that JSON text cannot.
std::string hex_encode(std::string_view body) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(body.size() * 2);
  for (const char character : body) {
    const auto byte = static_cast<unsigned char>(character);
    text += digits[byte >> 4U];
    text += digits[byte & 0x0fU];
  }
  return text;
}

int hex_value(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

bool hex_decode(std::string& body) {
  if (body.size() % 2 != 0) {
    return false;
  }
  std::string bytes;
  for (std::size_t at = 0; at < body.size(); at += 2) {
    const int high = hex_value(body[at]);
    const int low = hex_value(body[at + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes += static_cast<char>(high * 16 + low);
  }
  body = std::move(bytes);
  return true;
}

} // namespace

std::string_view to_string(idempotency_state state) {
  return state_names[static_cast<std::size_t>(state)];
}

std::string to_text(const idempotency_record& record) {
  json value = {{"state", to_string(record.state)},
                {"body_hash", record.body_hash},
                {"claim", record.claim},
                {"created_ms", to_ms(record.created)},
                {"deadline_ms", to_ms(record.deadline)}};
  if (record.state == idempotency_state::done) {
    value["status"] = record.response.status;
    value["content_type"] = record.response.content_type;
    value["body"] = hex_encode(record.response.body);
    value["omitted"] = record.response.omitted;
  }
  return boragedoor::to_text(value);
}

result<idempotency_record> idempotency_record_from_text(std::string_view text) {
  BOOST_OUTCOME_TRY(value, parse_json(text));
  idempotency_record record;
  bool ok = read_state(value, record.state) && read_field(value, "body_hash", record.body_hash) &&
            read_field(value, "claim", record.claim) &&
            read_time(value, "created_ms", record.created) &&
            read_time(value, "deadline_ms", record.deadline);
  if (ok && record.state == idempotency_state::done) {
    ok = read_response(value, record.response) && hex_decode(record.response.body) &&
         record.response.body.size() <= max_stored_response_bytes;
  }
  if (!ok) {
    return error{error_code::protocol, "malformed idempotency record"};
  }
  return record;
}

std::string idempotency_record_key(std::string_view workspace, std::string_view idempotency_key) {
  return "once/" + std::string(workspace) + "/" + sha256_hex(idempotency_key);
}

} // namespace boragedoor::requests
