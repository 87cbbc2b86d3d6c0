#include "base/name.h"

#include <algorithm>

namespace boragedoor {

namespace {

constexpr std::size_t max_name_length = 63;

bool is_lower_or_digit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

} // namespace

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_length && is_lower_or_digit(text.front()) &&
         std::ranges::all_of(text, [](char c) { return is_lower_or_digit(c) || c == '-'; });
}

bool is_lower_hex(std::string_view text, std::size_t digits) {
  return text.size() == digits && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

} // namespace boragedoor
