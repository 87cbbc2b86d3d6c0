#pragma once

#include <array>
#include <string_view>

namespace boragedoor::testing {

/// Lines that are no field line of a response (RFC 9112, 5): the name is missing or holds other
/// characters than a token does, or the line continues the one before.
inline constexpr std::array invalid_field_lines = {
    std::string_view(" X: 1"),
    std::string_view("\tX: 1"),
    std::string_view("  continued"),
    std::string_view(" Content-Length: 1"),
    std::string_view("X : 1"),
    std::string_view("X\t: 1"),
    std::string_view("X Y: 1"),
    std::string_view("X\tY: 1"),
    std::string_view("Content-Length : 1"),
    std::string_view("Transfer-Encoding : chunked"),
    std::string_view("Transfer-Encoding\t: chunked"),
    std::string_view("\x01X: 1"),
    std::string_view("X\x01Y: 1"),
    std::string_view("X\x0b: 1"),
    std::string_view("X\x7f: 1"),
    std::string_view("X\0Y: 1", 6),
    std::string_view("X\rY: 1"),
    std::string_view("X\xc3\xa9: 1"),
    std::string_view("X(Y): 1"),
    std::string_view(": 1"),
    std::string_view("no colon"),
};

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
