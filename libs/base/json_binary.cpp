#include "base/json_binary.h"

#include <cstdint>
#include <vector>

namespace boragedoor {

json binary(std::string_view data) {
  return json::binary(std::vector<std::uint8_t>(data.begin(), data.end()));
}

bool read_binary(const json& object, std::string_view name, std::string& to) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_binary()) {
    return false;
  }
  const auto& data = it->get_binary();
  to.assign(data.begin(), data.end());
  return true;
}

} // namespace boragedoor
