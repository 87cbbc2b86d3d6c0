#include "loopback_address.h"

#include <unistd.h>

#include <cstdint>

#include <fmt/format.h>

namespace boragedoor::platform {

net::address own_loopback_address() {
  // A process id has 22 bits at most. The first number keeps clear of 127.0.x.x and of the
  // broadcast address.
  constexpr std::uint32_t first_block = 64;
  const auto id = static_cast<std::uint32_t>(getpid());
  return {fmt::format("127.{}.{}.{}", first_block + (id >> 16) % first_block, (id >> 8) % 256,
                      id % 256),
          0};
}

} // namespace boragedoor::platform
