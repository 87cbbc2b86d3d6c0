#pragma once

#include <string>

namespace boragedoor {

/// Frees the memory of a text. An assignment of an empty one keeps it.
inline void release_memory(std::string& text) {
  std::string().swap(text);
}

} // namespace boragedoor
