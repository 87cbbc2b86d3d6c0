#include "configuration/canonical_order.h"

#include <algorithm>
#include <tuple>

namespace boragedoor::config {

namespace {

template <class T>
void sort_by_name(std::vector<T>& list) {
  std::ranges::sort(list, {}, &T::name);
}

} // namespace

void put_in_canonical_order(configuration& it) {
  sort_by_name(it.data_centres);
  sort_by_name(it.classes);
  sort_by_name(it.workspaces);
  sort_by_name(it.models);
  sort_by_name(it.trainers);
  sort_by_name(it.services);
  sort_by_name(it.pools);
  for (auto& workspace : it.workspaces) {
    std::ranges::sort(workspace.keys, {}, &workspace_key::id);
  }
  for (auto& service : it.services) {
    std::ranges::sort(service.routes, {}, [](const service_route& route) {
      return std::tie(route.path_prefix, route.method);
    });
  }
  for (auto& pool : it.pools) {
    std::ranges::sort(pool.sizes, {}, &pool_size::data_centre);
  }
}

} // namespace boragedoor::config
