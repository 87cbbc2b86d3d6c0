#include "base/time.h"

namespace boragedoor {

time_point monotonic_now() {
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

wall_time wall_now() {
  return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

} // namespace boragedoor
