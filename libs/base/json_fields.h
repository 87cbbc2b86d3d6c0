#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"

namespace boragedoor {

/// Each function stores a field of an untrusted document in `to`. They return false if it is
/// missing, of another type or out of range, so that reads can be joined with `&&`.
template <std::unsigned_integral Number>
requires(!std::same_as<Number, bool>) bool read_field(const json& object, std::string_view name,
                                                      Number& to) {
  const auto it = integer_field(object, name);
  if (!it || *it < 0 ||
      static_cast<std::uint64_t>(*it) > std::uint64_t{std::numeric_limits<Number>::max()}) {
    return false;
  }
  to = static_cast<Number>(*it);
  return true;
}

bool read_field(const json& object, std::string_view name, std::string& to);
bool read_field(const json& object, std::string_view name, bool& to);
bool read_field(const json& object, std::string_view name, std::vector<std::string>& to);

/// The array in a field, or nothing.
const json* array_field(const json& object, std::string_view name);

} // namespace boragedoor
