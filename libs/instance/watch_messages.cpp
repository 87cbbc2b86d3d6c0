#include "instance/watch_messages.h"

#include "base/json.h"
#include "base/json_binary.h"
#include "base/json_fields.h"

namespace boragedoor::instance {

namespace {

json to_json(const stored_item& it) {
  return {{"key", it.key},
          {"value", binary(it.value)},
          {"revision", it.revision},
          {"created", it.created},
          {"lease", it.lease}};
}

bool read_item(const json& from, stored_item& to) {
  return read_field(from, "key", to.key) && read_binary(from, "value", to.value) &&
         read_field(from, "revision", to.revision) && read_field(from, "created", to.created) &&
         read_field(from, "lease", to.lease);
}

error malformed() {
  return {error_code::protocol, "the response of the other instance is malformed"};
}

} // namespace

std::string to_message(const list_answer& it) {
  json items = json::array();
  for (const stored_item& item : it.items) {
    items.push_back(to_json(item));
  }
  return to_cbor({{"as_of", it.as_of}, {"items", std::move(items)}});
}

std::string to_message(const watch_answer& it) {
  json events = json::array();
  for (const change_event& change : it.events) {
    json event = to_json(change.item);
    event["removed"] = change.removed;
    events.push_back(std::move(event));
  }
  return to_cbor({{"as_of", it.as_of}, {"events", std::move(events)}});
}

result<list_answer> list_answer_from_message(std::string_view message) {
  const auto parsed = parse_cbor(message);
  if (!parsed) {
    return parsed.error();
  }
  list_answer answer{.status = store_status::ok, .items = {}, .more = false, .as_of = 0};
  const json* items = array_field(parsed.value(), "items");
  if (items == nullptr || !read_field(parsed.value(), "as_of", answer.as_of)) {
    return malformed();
  }
  for (const json& it : *items) {
    if (!read_item(it, answer.items.emplace_back())) {
      return malformed();
    }
  }
  return answer;
}

result<watch_answer> watch_answer_from_message(std::string_view message) {
  const auto parsed = parse_cbor(message);
  if (!parsed) {
    return parsed.error();
  }
  watch_answer answer{.status = store_status::ok, .events = {}, .as_of = 0};
  const json* events = array_field(parsed.value(), "events");
  if (events == nullptr || !read_field(parsed.value(), "as_of", answer.as_of)) {
    return malformed();
  }
  for (const json& it : *events) {
    change_event& change = answer.events.emplace_back();
    if (!read_item(it, change.item) || !read_field(it, "removed", change.removed)) {
      return malformed();
    }
  }
  return answer;
}

} // namespace boragedoor::instance
