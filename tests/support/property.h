#pragma once

#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace boragedoor::testing {

/// Checks a RapidCheck property inside a Catch2 test. The seed and number of cases come from
/// RC_PARAMS, which ctest fixes.
template <class Testable>
void check_property(const std::string& description, Testable&& testable) {
  INFO(description);
  CHECK(rc::check(description, std::forward<Testable>(testable)));
}

} // namespace boragedoor::testing
