#include "instance/stated_timeout.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "http1/message.h"

namespace boragedoor::instance {

namespace {

constexpr duration forward_margin = milliseconds(500);

} // namespace

void state_timeout(net::headers& list, duration timeout) {
  list.emplace_back(timeout_header, std::to_string(to_milliseconds(timeout)));
}

duration stated_timeout(const net::headers& list, duration unstated) {
  const auto stated = http1::integer_header(list, timeout_header);
  if (!stated) {
    return unstated;
  }
  const std::int64_t limit = to_milliseconds(max_stated_timeout);
  return milliseconds(std::clamp<std::int64_t>(*stated, 0, limit)) + forward_margin;
}

} // namespace boragedoor::instance
