#pragma once

#include <string_view>

namespace boragedoor {

/// What `is_name` accepts, for remedies.
inline constexpr std::string_view name_rule =
    "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit";

/// True for a name that is safe in paths, store keys and metric labels.
bool is_name(std::string_view text);

/// True for `digits` lower-case hexadecimal digits.
bool is_lower_hex(std::string_view text, std::size_t digits);

} // namespace boragedoor
