#include "scaling/naive_scaler.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::scaling {

std::vector<endpoint_order> naive_scaler(const pool_plan& plan, double stated_requests) {
  std::vector<endpoint_order> out;
  int left = static_cast<int>(std::ceil(stated_requests / plan.concurrency));
  auto places = static_cast<int>(plan.data_centres.size());
  for (const data_centre_bounds& it : plan.data_centres) {
    const int share = (left + places - 1) / places;
    const int count = std::clamp(share, it.minimum, it.maximum);
    out.push_back({it.data_centre, plan.pool, capacity_tier::standard, count});
    left = std::max(0, left - count);
    places -= 1;
  }
  return out;
}

} // namespace boragedoor::scaling
