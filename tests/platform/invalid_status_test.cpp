#include <string>

#include <catch2/catch.hpp>

#include "invalid_head_checks.h"

namespace boragedoor::platform {

// Guards against an answer of a replica in trouble whose status is none: a caller got it as its
// answer, or waited for another one until its deadline.
TEST_CASE("an answer with a status that is none") {
  // `http1_test` has more of them.
  check_that_answers_are_refused(
      {.status = GENERATE(as<std::string>(), "000 Trouble", "600 Trouble"), .line = {}});
}

} // namespace boragedoor::platform
