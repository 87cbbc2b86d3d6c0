#include "daemon/announcement_board.h"

#include "base/hash.h"

namespace boragedoor::daemon {

namespace {

std::uint64_t fingerprint(const announcement& it) {
  return hash64(it.name, it.number);
}

} // namespace

bool announcement_board::merge(const announcement& it) {
  auto& known = facts_[it.name];
  if (!known.name.empty() && known.number >= it.number) {
    return false;
  }
  if (!known.name.empty()) {
    digest_ ^= fingerprint(known);
  }
  known = it;
  digest_ ^= fingerprint(known);
  return true;
}

const announcement* announcement_board::find(std::string_view name) const {
  const auto it = facts_.find(name);
  return it == facts_.end() ? nullptr : &it->second;
}

std::vector<announcement> announcement_board::all() const {
  std::vector<announcement> list;
  list.reserve(facts_.size());
  for (const auto& [name, it] : facts_) {
    list.push_back(it);
  }
  return list;
}

json to_json(const announcement& it) {
  return {{"name", it.name}, {"number", it.number}, {"value", it.value}};
}

result<announcement> announcement_from_json(const json& value) {
  const auto name = string_field(value, "name");
  const auto number = integer_field(value, "number");
  if (!name || name->empty() || !number || *number < 0 || !value.contains("value")) {
    return error{error_code::protocol, "not an announcement"};
  }
  return announcement{*name, static_cast<std::uint64_t>(*number), value["value"]};
}

} // namespace boragedoor::daemon
