#pragma once

#include "freshness/group_order.h"

namespace boragedoor::freshness {

/// Starts samples in the order of arrival. The baseline of `group_order`.
std::vector<std::size_t> naive_group_order(std::span<const waiting_sample> waiting);

} // namespace boragedoor::freshness
