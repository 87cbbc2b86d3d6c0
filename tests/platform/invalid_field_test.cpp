#include <string>

#include <catch2/catch.hpp>

#include "invalid_head_checks.h"

namespace boragedoor::platform {

// Guards against an answer of a replica in trouble in whose head a line is no field: a caller got
// it as its answer, with the line passed on or with a body that was not the replica's.
TEST_CASE("an answer with a line in its head that is no field") {
  // `http1_test` has more of them.
  check_that_answers_are_refused(
      {.line = GENERATE(as<std::string>(), " X: 1", "\tX: 1", " Content-Length: 5", "X Y: 1",
                        "Content-Length : 5", "X\x01Y: 1")});
}

} // namespace boragedoor::platform
