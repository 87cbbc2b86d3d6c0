#pragma once

#include <span>
#include <string>
#include <vector>

namespace boragedoor {

/// One problem found while checking an input. Checks collect all findings and report them together.
struct finding {
  /// Name of the file or other source, as the user gave it.
  std::string file;
  /// Line number from 1; 0 where the source has no lines.
  int line = 0;
  /// Key, field or path that the problem belongs to.
  std::string key;
  /// What is wrong.
  std::string problem;
  /// What would be right.
  std::string remedy;

  friend bool operator==(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

/// Formats a finding as "file:line: key: problem; remedy".
std::string to_string(const finding& it);

/// Formats findings one a line, each with a trailing newline.
std::string to_string(std::span<const finding> list);

} // namespace boragedoor
