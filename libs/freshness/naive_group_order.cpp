#include "freshness/naive_group_order.h"

#include <numeric>

namespace boragedoor::freshness {

std::vector<std::size_t> naive_group_order(std::span<const waiting_sample> waiting) {
  std::vector<std::size_t> out(waiting.size());
  std::iota(out.begin(), out.end(), std::size_t{0});
  return out;
}

} // namespace boragedoor::freshness
