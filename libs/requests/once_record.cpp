#include "requests/once_record.h"

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

bool read_time(const json& value, std::string_view name, wall_time& to) {
  // Far above any real time and far below what overflows when converted to microseconds.
  constexpr std::int64_t most_ms = std::int64_t{1} << 50;
  const auto it = integer_field(value, name);
  if (!it || *it < 0 || *it > most_ms) {
    return false;
  }
  to = wall_time(milliseconds(*it));
  return true;
}

bool read_state(const json& value, once_state& to) {
  const auto name = string_field(value, "state");
  const auto* it = std::ranges::find(state_names, name.value_or(""));
  if (it == state_names.end()) {
    return false;
  }
  to = static_cast<once_state>(it - state_names.begin());
  return true;
}

bool read_answer(const json& value, stored_answer& to) {
  const auto status = integer_field(value, "status");
  if (!status || *status < 100 || *status > 999) {
    return false;
  }
  to.status = static_cast<int>(*status);
  return read_field(value, "content_type", to.content_type) && read_field(value, "body", to.body) &&
         read_field(value, "omitted", to.omitted);
}

/// Bodies are bytes and JSON is text, so a body that is not ASCII is written in hexadecimal.
std::string encode(std::string_view body) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(body.size() * 2);
  for (const char each : body) {
    const auto byte = static_cast<unsigned char>(each);
    text += digits[byte >> 4U];
    text += digits[byte & 0x0fU];
  }
  return text;
}

int digit(char it) {
  if (it >= '0' && it <= '9') {
    return it - '0';
  }
  return it >= 'a' && it <= 'f' ? it - 'a' + 10 : -1;
}

bool decode(std::string& body) {
  if (body.size() % 2 != 0) {
    return false;
  }
  std::string bytes;
  for (std::size_t at = 0; at < body.size(); at += 2) {
    const int high = digit(body[at]);
    const int low = digit(body[at + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes += static_cast<char>(high * 16 + low);
  }
  body = std::move(bytes);
  return true;
}

} // namespace

std::string_view to_string(once_state state) {
  return state_names[static_cast<std::size_t>(state)];
}

std::string to_text(const once_record& record) {
  json value = {{"state", to_string(record.state)},
                {"body_hash", record.body_hash},
                {"claim", record.claim},
                {"created_ms", to_ms(record.created)},
                {"deadline_ms", to_ms(record.deadline)}};
  if (record.state == once_state::done) {
    value["status"] = record.answer.status;
    value["content_type"] = record.answer.content_type;
    value["body"] = encode(record.answer.body);
    value["omitted"] = record.answer.omitted;
  }
  return boragedoor::to_text(value);
}

result<once_record> once_record_from_text(std::string_view text) {
  BOOST_OUTCOME_TRY(value, parse_json(text));
  once_record it;
  bool ok = read_state(value, it.state) && read_field(value, "body_hash", it.body_hash) &&
            read_field(value, "claim", it.claim) && read_time(value, "created_ms", it.created) &&
            read_time(value, "deadline_ms", it.deadline);
  if (ok && it.state == once_state::done) {
    ok = read_answer(value, it.answer) && decode(it.answer.body) &&
         it.answer.body.size() <= max_stored_answer_bytes;
  }
  if (!ok) {
    return error{error_code::protocol, "the record of an idempotency key is malformed"};
  }
  return it;
}

std::string once_key(std::string_view workspace, std::string_view idempotency_key) {
  return "once/" + std::string(workspace) + "/" + sha256_hex(idempotency_key);
}

} // namespace boragedoor::requests
