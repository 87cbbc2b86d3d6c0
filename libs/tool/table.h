#pragma once

#include <span>
#include <string>
#include <string_view>

#include "base/json.h"

namespace boragedoor::tool {

/// Formats an array of objects as a table: the given columns first, then every other field that
/// some row has. Control characters are replaced, so that no value can steer the terminal.
std::string format_table(std::span<const std::string_view> columns, const json& rows);

/// Formats one value for a person.
std::string format_value(const json& value);

} // namespace boragedoor::tool
