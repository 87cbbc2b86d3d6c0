#pragma once

#include <array>
#include <string_view>

namespace boragedoor::testing {

/// Statuses that are none: not three digits, or the first of them not from 1 to 5.
inline constexpr std::array invalid_statuses = {
    std::string_view("000 Trouble"), std::string_view("001 Trouble"),
    std::string_view("099 Trouble"), std::string_view("600 Trouble"),
    std::string_view("999 Trouble"), std::string_view("000"),
    std::string_view("20 OK"),       std::string_view("2 OK"),
    std::string_view("0200 OK"),     std::string_view("00200 OK"),
    std::string_view("2000 OK"),     std::string_view("2x0 OK"),
    std::string_view("-20 OK"),      std::string_view(" 200 OK"),
};

} // namespace boragedoor::testing
