#pragma once

#include <string>

namespace boragedoor::platform {

/// A part of a response's head that is not what it should be.
struct invalid_head {
  /// Status and reason phrase.
  std::string status = "200 OK";
  /// A line that follows the signature of the response; empty for none.
  std::string line;
};

/// Checks, in sections of the test case, that the answers of a replica whose heads are invalid
/// reach no caller and end no item or reward call.
void check_that_answers_are_refused(const invalid_head& head);

} // namespace boragedoor::platform
