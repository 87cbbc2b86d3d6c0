#pragma once

#include "freshness/sample_freshness.h"

namespace boragedoor::freshness {

/// Starts samples on any version and lets them run, so that stale ones are found at delivery only.
/// The baseline of `sample_freshness`; never to be used in the daemon.
class naive_sample_freshness {
public:
  static std::uint64_t minimum_version(std::string_view trainer, duration expected, time_point now);
  static sample_decision check(const running_sample& it, time_point now);
};

} // namespace boragedoor::freshness
