#include "base/json_list.h"

#include <string>

#include "support/property.h"

namespace boragedoor {

namespace {

/// Reads a document and joins what was passed on.
result<json> read_whole(std::string_view bytes, std::string_view list) {
  json elements = json::array();
  auto fields = parse_cbor_list(bytes, list, [&](const json& it) {
    elements.push_back(it);
    return true;
  });
  if (fields && fields.value().contains(list)) {
    fields.value()[std::string(list)] = std::move(elements);
  }
  return fields;
}

} // namespace

// Guards against documents that are held several times while they are read or written.
TEST_CASE("a list in a document is read and written one element at a time") {
  const json elements = {
      1, -2, 1.5, "a", nullptr, true, json::array(), {{"list", {1, {2}}}}, {{"a", json::object()}}};
  const json fields = {{"a", {{"list", {1, 2}}}}, {"z", json::array({json::array({1})})}, {"n", 7}};
  json whole = fields;
  whole["list"] = elements;

  SECTION("of a document that was written as a whole") {
    const auto read = read_whole(to_cbor(whole), "list");
    REQUIRE(read);
    CHECK(read.value() == whole);
  }
  SECTION("of a document that was written one element at a time") {
    std::string bytes;
    append_cbor_list(bytes, fields, "list", elements.size(),
                     [&](std::size_t n) { return elements[n]; });
    CHECK(parse_cbor(bytes).value() == whole);
    CHECK(read_whole(bytes, "list").value() == whole);

    SECTION("and no shorter one") {
      for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(read_whole(std::string_view(bytes).substr(0, n), "list"));
      }
    }
  }
  SECTION("until the reader has enough") {
    int taken = 0;
    CHECK_FALSE(parse_cbor_list(to_cbor(whole), "list", [&](const json&) { return ++taken < 3; }));
    CHECK(taken == 3);
  }
  SECTION("and a document without it has none") {
    CHECK(read_whole(to_cbor(fields), "list").value() == fields);
    CHECK(read_whole(to_cbor({{"list", json::array()}}), "list").value()["list"] == json::array());
  }
  SECTION("arbitrary bytes never crash the parser") {
    testing::check_property("the parser returns on any input",
                            [](const std::string& bytes) { (void)read_whole(bytes, "list"); });
  }
}

} // namespace boragedoor
