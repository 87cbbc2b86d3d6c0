#include "base/finding.h"

#include <catch2/catch.hpp>

namespace boragedoor {

TEST_CASE("a finding names place, problem and remedy on one line") {
  const finding it{"a.ini", 3, "listen.port", "not a number", "use 1 to 65535"};
  CHECK(to_string(it) == "a.ini:3: listen.port: not a number; use 1 to 65535");
}

} // namespace boragedoor
