#pragma once

#include <functional>
#include <string_view>

#include "base/json.h"
#include "base/result.h"

namespace boragedoor {

/// Parses a CBOR object with a long array, without holding the elements at the same time: each
/// element of the field `list` is passed to `take`, which may end the parsing with false. Returns
/// the object with null in the place of the array. Fails with `protocol` on malformed bytes, on
/// nesting deeper than `max_json_depth` and if `take` returned false.
result<json> parse_cbor_list(std::string_view bytes, std::string_view list,
                             const std::function<bool(const json&)>& take);

/// Writes such an object: one element after the other is appended to `to` after the other fields.
/// `element` returns the element at a position.
void append_cbor_list(std::string& to, const json& fields, std::string_view list, std::size_t size,
                      const std::function<json(std::size_t)>& element);

} // namespace boragedoor
