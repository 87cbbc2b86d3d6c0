#include "platform/base64.h"

#include <catch2/catch.hpp>

namespace boragedoor::platform {

TEST_CASE("base64 is standard, with padding") {
  const auto encode = [](std::string_view data) {
    std::string text = "before:";
    append_base64(text, data);
    return text.substr(7);
  };
  CHECK(encode("").empty());
  CHECK(encode("f") == "Zg==");
  CHECK(encode("fo") == "Zm8=");
  CHECK(encode("foo") == "Zm9v");
  for (std::size_t n = 0; n < 70; ++n) {
    std::string data;
    for (std::size_t i = 0; i < n; ++i) {
      data.push_back(static_cast<char>(i * 37));
    }
    CHECK(decode_base64(encode(data)).value() == data);
  }
  CHECK_FALSE(decode_base64("Zg="));
  CHECK_FALSE(decode_base64("Z!=="));
}

} // namespace boragedoor::platform
