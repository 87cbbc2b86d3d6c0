#include "base/file.h"

#include <fstream>

namespace boragedoor {

result<std::string> read_whole_file(const std::string& path) {
  constexpr std::size_t block_bytes = 64UL * 1024;
  std::ifstream file(path, std::ios::binary);
  std::string text;
  std::string block(block_bytes, '\0');
  // Opening a directory succeeds and reading it fails. `read` reports that by a flag, where stream
  // iterators throw.
  while (file.is_open() && !file.eof() && !file.bad()) {
    file.read(block.data(), static_cast<std::streamsize>(block.size()));
    text.append(block, 0, static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    return error{error_code::io, path + ": cannot be read; check the path and its permissions"};
  }
  return text;
}

} // namespace boragedoor
