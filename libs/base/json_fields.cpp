#include "base/json_fields.h"

#include <algorithm>

namespace boragedoor {

bool read_field(const json& object, std::string_view name, std::string& to) {
  auto it = string_field(object, name);
  if (!it) {
    return false;
  }
  to = std::move(*it);
  return true;
}

bool read_field(const json& object, std::string_view name, bool& to) {
  const auto it = bool_field(object, name);
  to = it.value_or(false);
  return it.has_value();
}

bool read_field(const json& object, std::string_view name, std::vector<std::string>& to) {
  const json* list = array_field(object, name);
  return list != nullptr && std::ranges::all_of(*list, [&to](const json& it) {
           if (it.is_string()) {
             to.push_back(it.get<std::string>());
           }
           return it.is_string();
         });
}

const json* array_field(const json& object, std::string_view name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto it = object.find(name);
  return it == object.end() || !it->is_array() ? nullptr : &*it;
}

} // namespace boragedoor
