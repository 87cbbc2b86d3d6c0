#include "routing/naive_router.h"

#include <vector>

namespace boragedoor::routing {

result<route_choice> naive_router::choose(const route_request& request,
                                          const endpoint_table& table) {
  std::vector<const endpoint*> list;
  table.for_each([&](const endpoint& it) {
    if (meets_requirements(it, request)) {
      list.push_back(&it);
    }
  });
  if (list.empty()) {
    return error{error_code::unavailable, "no endpoint meets the request's requirements"};
  }
  route_choice out;
  out.endpoint = list[next_++ % list.size()]->id;
  return out;
}

} // namespace boragedoor::routing
