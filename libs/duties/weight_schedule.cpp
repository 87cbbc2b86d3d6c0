#include "duties/weight_schedule.h"

#include <algorithm>
#include <tuple>

namespace boragedoor::duties {

void weight_schedule::name(std::string_view model, std::uint64_t version, time_point now) {
  named& it = newest_[std::string(model)];
  if (version > it.version) {
    it = {version, now};
  }
}

std::uint64_t weight_schedule::newest(std::string_view model) const {
  const auto it = newest_.find(model);
  return it == newest_.end() ? 0 : it->second.version;
}

bool weight_schedule::is_paused(std::string_view engine, time_point now) const {
  const auto it = not_before_.find(engine);
  return it != not_before_.end() && now < it->second;
}

std::vector<load_order> weight_schedule::decide(const std::vector<engine_state>& engines,
                                                time_point now) {
  struct candidate {
    const engine_state* engine = nullptr;
    const std::string* model = nullptr;
    std::uint64_t lag = 0;
  };
  std::erase_if(loading_,
                [&](const auto& it) { return now - it.second.since >= options_.load_timeout; });
  std::vector<candidate> waiting;
  // Engines of each model, and those that hold its newest version or load it.
  std::map<std::string_view, std::size_t> all;
  std::map<std::string_view, std::size_t> current;
  for (const engine_state& it : engines) {
    const auto loading = loading_.find(it.id);
    for (const auto& [model, version] : it.versions) {
      const std::uint64_t target = newest(model);
      const bool loads_it = loading != loading_.end() && loading->second.order.model == model;
      ++all[model];
      if (version >= target || loads_it) {
        ++current[model];
      } else if (loading == loading_.end() && !is_paused(it.id, now)) {
        waiting.push_back({&it, &model, target - version});
      }
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const candidate& a, const candidate& b) {
    return std::tuple(b.lag, a.engine->load) < std::tuple(a.lag, b.engine->load);
  });
  const auto by_share =
      static_cast<std::size_t>(options_.share_at_once * static_cast<double>(engines.size()));
  const std::size_t most = std::max(options_.least_at_once, by_share);
  std::vector<load_order> orders;
  for (const candidate& it : waiting) {
    if (loading_.size() >= most) {
      break;
    }
    const bool too_old = it.lag > options_.tolerated_lag;
    const bool settled = now - newest_.find(*it.model)->second.since >= options_.catch_up_after;
    if (!too_old && !settled && 2 * (current[*it.model] + 1) > all[*it.model]) {
      continue;
    }
    load_order order{it.engine->id, *it.model, newest(*it.model)};
    if (loading_.try_emplace(it.engine->id, load{order, now}).second) {
      ++current[*it.model];
      orders.push_back(std::move(order));
    }
  }
  return orders;
}

void weight_schedule::loaded(std::string_view engine, std::string_view model,
                             std::uint64_t version) {
  const auto it = loading_.find(engine);
  if (it != loading_.end() && it->second.order.model == model &&
      version >= it->second.order.version) {
    loading_.erase(it);
  }
}

void weight_schedule::failed(std::string_view engine, time_point now) {
  if (const auto it = loading_.find(engine); it != loading_.end()) {
    loading_.erase(it);
  }
  not_before_[std::string(engine)] = now + options_.retry_delay;
}

} // namespace boragedoor::duties
