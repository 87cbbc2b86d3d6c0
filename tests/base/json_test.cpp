#include "base/json.h"

#include "support/property.h"

namespace boragedoor {

TEST_CASE("untrusted documents") {
  SECTION("a small document is read") {
    const auto value = parse_json(R"({"a":[1,2,{"b":true}]})");
    REQUIRE(value);
    CHECK(value.value()["a"][2]["b"] == true);
  }
  SECTION("nesting at the limit is accepted and one level more is refused") {
    const std::string open(max_json_depth, '[');
    const std::string close(max_json_depth, ']');
    CHECK(parse_json(open + close));
    CHECK_FALSE(parse_json('[' + open + close + ']'));
  }
  SECTION("truncated and trailing text is refused") {
    CHECK_FALSE(parse_json(R"({"a":1)"));
    CHECK_FALSE(parse_json(R"({"a":1} x)"));
    CHECK_FALSE(parse_json(""));
  }
  SECTION("a CBOR array that claims 2^62 elements is refused without allocating them") {
    CHECK_FALSE(parse_cbor(std::string("\x9b\x40\x00\x00\x00\x00\x00\x00\x00", 9)));
  }
  SECTION("fields of the wrong type or range are reported as missing") {
    const json value = {{"n", 18446744073709551615ULL}, {"s", 1}, {"f", 1.5}};
    CHECK_FALSE(integer_field(value, "n"));
    CHECK_FALSE(string_field(value, "s"));
    CHECK_FALSE(integer_field(value, "f"));
    CHECK_FALSE(integer_field(json::array(), "n"));
  }
  SECTION("arbitrary bytes never crash either parser") {
    testing::check_property("parsers return on any input", [](const std::string& bytes) {
      (void)parse_json(bytes);
      (void)parse_cbor(bytes);
    });
  }
}

} // namespace boragedoor
