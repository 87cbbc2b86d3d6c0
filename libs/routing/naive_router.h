#pragma once

#include <cstddef>

#include "base/result.h"
#include "routing/endpoint_table.h"
#include "routing/router.h"

namespace boragedoor::routing {

/// Round robin over the endpoints that meet the request's requirements. Ignores load, health,
/// network distance and caches. Baseline for `router` in benchmarks.
class naive_router {
public:
  explicit naive_router(std::size_t first = 0) : next_(first) {}

  /// Fails with `unavailable` when no endpoint meets the requirements.
  result<route_choice> choose(const route_request& request, const endpoint_table& table);

private:
  std::size_t next_;
};

} // namespace boragedoor::routing
