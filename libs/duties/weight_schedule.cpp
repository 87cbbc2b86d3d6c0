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

std::map<std::string, weight_schedule::coverage, std::less<>>
weight_schedule::cover(const std::vector<engine_state>& engines) const {
  std::map<std::string, coverage, std::less<>> models;
  for (const engine_state& it : engines) {
    for (const auto& [model, version] : it.versions) {
      coverage& of = models[model];
      ++of.all;
      const std::uint64_t target = newest(model);
      const bool current = version >= target || loads(it.id, model);
      of.current += current ? 1 : 0;
      of.useful += current || version + options_.tolerated_lag >= target ? 1 : 0;
    }
  }
  return models;
}

std::size_t weight_schedule::useful_models(const engine_state& it) const {
  return static_cast<std::size_t>(
      std::count_if(it.versions.begin(), it.versions.end(), [this](const auto& held) {
        return held.second + options_.tolerated_lag >= newest(held.first);
      }));
}

std::optional<load_order> weight_schedule::next_load(const std::vector<engine_state>& engines,
                                                     time_point now) const {
  const auto models = cover(engines);
  const engine_state* best = nullptr;
  std::string_view best_model;
  std::tuple<std::size_t, bool, std::size_t, int> least;
  for (const engine_state& it : engines) {
    if (loading_.contains(it.id) || is_paused(it.id, now)) {
      continue;
    }
    const std::size_t useful = useful_models(it);
    for (const auto& [model, version] : it.versions) {
      const std::uint64_t target = newest(model);
      if (version >= target) {
        continue;
      }
      const coverage& of = models.find(model)->second;
      const bool too_old = version + options_.tolerated_lag < target;
      const bool settled = now - newest_.find(model)->second.since >= options_.catch_up_after;
      if (!too_old && !settled && 2 * (of.current + 1) > of.all) {
        continue;
      }
      const std::tuple order(of.useful + of.current, !too_old, useful, it.load);
      if (best == nullptr || order < least) {
        best = &it;
        best_model = model;
        least = order;
      }
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return load_order{best->id, std::string(best_model), newest(best_model)};
}

std::vector<load_order> weight_schedule::decide(const std::vector<engine_state>& engines,
                                                time_point now) {
  std::erase_if(loading_,
                [&](const auto& it) { return now - it.second.since >= options_.load_timeout; });
  if (at_once_ == 0 && !newest_.empty()) {
    // Not before a version is named: by then all engines are known.
    at_once_ = options_.share_at_once * static_cast<double>(engines.size());
  }
  std::vector<load_order> orders;
  while (loading_.size() < most_at_once()) {
    auto order = next_load(engines, now);
    if (!order) {
      break;
    }
    loading_.emplace(order->engine, load{*order, now});
    orders.push_back(*std::move(order));
  }
  return orders;
}

bool weight_schedule::loads(std::string_view engine, std::string_view model) const {
  const auto it = loading_.find(engine);
  return it != loading_.end() && it->second.order.model == model;
}

std::size_t weight_schedule::most_at_once() const {
  return std::max(options_.least_at_once, static_cast<std::size_t>(at_once_));
}

void weight_schedule::loaded(std::string_view engine, std::string_view model, std::uint64_t version,
                             time_point now) {
  const auto it = loading_.find(engine);
  if (it == loading_.end() || it->second.order.model != model ||
      version < it->second.order.version) {
    return;
  }
  const time_point since = it->second.since;
  loading_.erase(it);
  if (now - since <= options_.slow_load) {
    at_once_ += options_.growth;
  } else if (since > last_slowed_) {
    // Loads that began before the last step down say nothing about the present number.
    at_once_ -= 1;
    last_slowed_ = now;
  }
}

void weight_schedule::failed(std::string_view engine, time_point now) {
  if (const auto it = loading_.find(engine); it != loading_.end()) {
    loading_.erase(it);
  }
  not_before_[std::string(engine)] = now + options_.retry_delay;
}

} // namespace boragedoor::duties
