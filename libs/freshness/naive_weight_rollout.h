#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "freshness/weight_rollout.h"

namespace boragedoor::freshness {

/// Swaps all engines at once, whatever they run and whatever the weight store admits, and orders a
/// failed swap again at once. The baseline of `weight_rollout`; never to be used in the daemon.
class naive_weight_rollout {
public:
  bool announce(std::string_view model, std::uint64_t version, time_point now);
  void put(const engine_view& it);
  void remove(std::string_view id);
  void swap_finished(std::string_view id, std::uint64_t version);
  void swap_failed(std::string_view id, time_point now, random_engine& random);
  std::vector<rollout_action> decide(time_point now, random_engine& random);

private:
  struct engine {
    engine_view view;
    std::uint64_t loading = 0;
  };
  std::map<std::string, engine, std::less<>> engines_;
  std::map<std::string, std::uint64_t, std::less<>> newest_;
};

} // namespace boragedoor::freshness
