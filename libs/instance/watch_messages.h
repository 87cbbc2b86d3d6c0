#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "instance/durable_store.h"

namespace boragedoor::instance {

/// Encodes and decodes, as CBOR, the responses between instances that share watches. Decoding
/// malformed data fails with `protocol`.
std::string to_message(const list_answer& it);
std::string to_message(const watch_answer& it);
result<list_answer> list_answer_from_message(std::string_view message);
result<watch_answer> watch_answer_from_message(std::string_view message);

} // namespace boragedoor::instance
