#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/result.h"

namespace boragedoor {

using json = nlohmann::json;

/// Deepest nesting of arrays and objects that is accepted from outside.
inline constexpr std::size_t max_json_depth = 32;

/// Parses JSON text from an untrusted source. Fails with `protocol` on malformed text and on
/// nesting deeper than `max_depth`.
result<json> parse_json(std::string_view text, std::size_t max_depth = max_json_depth);

/// Parses CBOR bytes from an untrusted source, with the same limits.
result<json> parse_cbor(std::string_view bytes, std::size_t max_depth = max_json_depth);

/// Encodes a value as CBOR bytes.
std::string to_cbor(const json& value);

/// Writes JSON on one line. Bytes that are not UTF-8 are replaced and never throw.
std::string to_text(const json& value);

/// Returns a field of the wanted type, or nothing when `object` is no object, or the field is
/// missing, of another type or out of the type's range.
std::optional<std::string> string_field(const json& object, std::string_view name);
std::optional<std::int64_t> integer_field(const json& object, std::string_view name);
std::optional<double> number_field(const json& object, std::string_view name);
std::optional<bool> bool_field(const json& object, std::string_view name);

} // namespace boragedoor
