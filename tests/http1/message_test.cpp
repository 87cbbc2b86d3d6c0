#include "http1/message.h"

#include <catch2/catch.hpp>

namespace boragedoor::http1 {

TEST_CASE("the parts of a request target are found") {
  CHECK(path_of("/a/b?x=1") == "/a/b");
  CHECK(path_of("/a/b") == "/a/b");
  CHECK(query_parameter("/r?name=a%20b&zone=z", "name") == "a b");
  CHECK(query_parameter("/r?name=a&zone=z", "zone") == "z");
  CHECK(query_parameter("/r?empty=", "empty") == "");
  CHECK_FALSE(query_parameter("/r?named=1", "name"));
  CHECK_FALSE(query_parameter("/r", "name"));
}

TEST_CASE("headers that could be read in two ways are not valid") {
  CHECK(is_valid_header("Attempt-Id", "9c41 d0"));
  CHECK_FALSE(is_valid_header("Bad Name", "x"));
  CHECK_FALSE(is_valid_header("Name ", "x"));
  CHECK_FALSE(is_valid_header("", "x"));
  CHECK_FALSE(is_valid_header("Name", "a\r\nOther: b"));
  CHECK_FALSE(is_valid_header("Name", std::string_view("a\0b", 3)));
}

TEST_CASE("tokens and numbers of headers are read without regard to case") {
  CHECK(has_token("keep-alive, Close", "close"));
  CHECK_FALSE(has_token("closed", "close"));
  CHECK(is_hop_by_hop("transfer-encoding"));
  CHECK_FALSE(is_hop_by_hop("Content-Type"));
  CHECK(integer_header({{"Wait-Ms", "12"}}, "wait-ms") == 12);
  CHECK_FALSE(integer_header({{"Wait-Ms", "12x"}}, "wait-ms"));
  CHECK_FALSE(integer_header({}, "wait-ms"));
}

} // namespace boragedoor::http1
