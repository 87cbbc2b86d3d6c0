#include "base/hash.h"

#include <catch2/catch.hpp>

namespace boragedoor {

TEST_CASE("hashes") {
  SECTION("SHA-256 matches the published test vector for \"abc\"") {
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  }
  SECTION("comparison tells apart texts of other length and content") {
    CHECK(constant_time_equal("abc", "abc"));
    CHECK_FALSE(constant_time_equal("abc", "abd"));
    CHECK_FALSE(constant_time_equal("abc", "abcd"));
  }
  SECTION("random keys differ and have two digits a byte") {
    CHECK(secure_random_hex(32).size() == 64);
    CHECK(secure_random_hex(32) != secure_random_hex(32));
  }
}

} // namespace boragedoor
