#include "base/time.h"

#include <ctime>

namespace boragedoor {

time_point monotonic_now() {
  // Unlike the steady clock, this one counts the time during which the machine is suspended, in
  // which leases of this process go on.
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return time_point(std::chrono::duration_cast<duration>(seconds(at.tv_sec) +
                                                         std::chrono::nanoseconds(at.tv_nsec)));
}

wall_time wall_now() {
  return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

} // namespace boragedoor
