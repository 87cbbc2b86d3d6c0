#pragma once

#include <string>
#include <string_view>

#include "base/json.h"

namespace boragedoor {

/// A byte string of a CBOR document.
json binary(std::string_view data);
/// Reads a byte string from an object; false if it is missing or of another type.
bool read_binary(const json& object, std::string_view name, std::string& to);

} // namespace boragedoor
