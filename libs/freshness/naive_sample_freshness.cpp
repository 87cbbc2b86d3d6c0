#include "freshness/naive_sample_freshness.h"

namespace boragedoor::freshness {

std::uint64_t naive_sample_freshness::minimum_version(std::string_view /*trainer*/,
                                                      duration /*expected*/, time_point /*now*/) {
  return 0;
}

sample_decision naive_sample_freshness::check(const running_sample& /*it*/, time_point /*now*/) {
  return sample_decision::keep;
}

} // namespace boragedoor::freshness
