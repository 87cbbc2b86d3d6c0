#include "base/heap.h"

#include <malloc.h>

namespace boragedoor {

void return_large_blocks() {
  // The initial threshold of the library, which a first large block that is freed would raise.
  constexpr int large_block_bytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace boragedoor
