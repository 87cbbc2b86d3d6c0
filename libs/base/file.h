#pragma once

#include <string>

#include "base/result.h"

namespace boragedoor {

/// Reads a whole file. Fails with `io` when it cannot be opened or read, or is a directory.
result<std::string> read_whole_file(const std::string& path);

} // namespace boragedoor
