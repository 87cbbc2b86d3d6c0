#include "duties/weight_schedule.h"

#include <algorithm>
#include <utility>

namespace boragedoor::duties {

std::string_view to_string(load_purpose it) {
  switch (it) {
  case load_purpose::current_step:
    return "current_step";
  case load_purpose::next_step:
    return "next_step";
  case load_purpose::surplus:
    return "surplus";
  }
  return "unknown";
}

void weight_schedule::announce(std::string_view model, std::uint64_t version, time_point now) {
  announced_version& it = newest_[std::string(model)];
  if (version > it.version) {
    it = {version, now};
    changed_ = true;
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
weight_schedule::count_coverage(const std::vector<engine_state>& engines) const {
  std::map<std::string, coverage, std::less<>> models;
  int slots = 1;
  for (const engine_state& it : engines) {
    slots = std::max(slots, it.slots);
    for (const auto& [model, version] : it.versions) {
      coverage& model_coverage = models[model];
      ++model_coverage.total;
      const std::uint64_t target = newest(model);
      const bool current = version >= target || is_loading(it.id, model);
      model_coverage.current += current ? 1 : 0;
      model_coverage.usable += current || version + options_.tolerated_lag >= target ? 1 : 0;
    }
  }
  for (auto& [model, it] : models) {
    if (const auto step = steps_.find(model); step != steps_.end()) {
      it.needed =
          std::min(it.total, static_cast<std::size_t>((step->second.items + slots - 1) / slots));
      it.oldest_open = step->second.oldest_open.value_or(wall_time::max());
    }
  }
  return models;
}

std::size_t weight_schedule::usable_models(const engine_state& it) const {
  return static_cast<std::size_t>(
      std::count_if(it.versions.begin(), it.versions.end(), [this](const auto& held) {
        return held.second + options_.tolerated_lag >= newest(held.first);
      }));
}

weight_schedule::candidate_lists
weight_schedule::find_candidates(const std::vector<engine_state>& engines, time_point now) const {
  candidate_lists lists;
  for (const engine_state& it : engines) {
    if (loading_.contains(it.id) || is_paused(it.id, now)) {
      continue;
    }
    const std::size_t usable = usable_models(it);
    for (const auto& [model, version] : it.versions) {
      if (const std::uint64_t target = newest(model); version < target) {
        const bool too_old = version + options_.tolerated_lag < target;
        lists[model].list.push_back({&it, too_old, {!too_old, usable, it.load}});
      }
    }
  }
  for (auto& [model, candidates] : lists) {
    std::stable_sort(
        candidates.list.begin(), candidates.list.end(),
        [](const candidate& left, const candidate& right) { return left.rank < right.rank; });
  }
  return lists;
}

weight_schedule::model_rank weight_schedule::rank_model(const coverage& covered,
                                                        const candidate& head) {
  const auto share = [&covered](std::size_t n) {
    return static_cast<double>(n) / static_cast<double>(covered.needed);
  };
  if (head.too_old && covered.usable < covered.needed) {
    return {load_purpose::current_step, wall_time{}, share(covered.usable)};
  }
  if (covered.current < covered.needed) {
    return {load_purpose::next_step, covered.oldest_open, share(covered.current)};
  }
  return {load_purpose::surplus, wall_time{},
          static_cast<double>(covered.usable + covered.current)};
}

std::optional<load_order>
weight_schedule::next_load(candidate_lists& candidates,
                           const std::map<std::string, coverage, std::less<>>& models,
                           time_point now) const {
  const candidate* best = nullptr;
  std::string_view best_model;
  std::pair<model_rank, std::tuple<bool, std::size_t, int>> best_rank;
  const bool surplus_allowed =
      static_cast<double>(loading_.size()) <
      std::max(1.0, options_.surplus_load_share * static_cast<double>(max_concurrent_loads()));
  for (auto& [model, it] : candidates) {
    while (it.next < it.list.size() && loading_.contains(it.list[it.next].engine->id)) {
      ++it.next;
    }
    if (it.next == it.list.size()) {
      continue;
    }
    const candidate& head = it.list[it.next];
    const coverage& covered = models.find(model)->second;
    const bool catch_up_due = now - newest_.find(model)->second.since >= options_.catch_up_delay;
    const model_rank need = rank_model(covered, head);
    const bool enough = !head.too_old && !catch_up_due && 2 * (covered.current + 1) > covered.total;
    if (std::get<load_purpose>(need) == load_purpose::surplus &&
        (enough || (covered.needed > 0 && !surplus_allowed))) {
      continue;
    }
    const std::pair rank(need, head.rank);
    if (best == nullptr || rank < best_rank) {
      best = &head;
      best_model = model;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return load_order{best->engine->id, std::string(best_model), newest(best_model),
                    std::get<load_purpose>(best_rank.first)};
}

bool weight_schedule::wants_decision(time_point now) const {
  return changed_ || now - last_decision_ >= options_.decision_interval;
}

std::vector<load_order> weight_schedule::decide(const std::vector<engine_state>& engines,
                                                time_point now) {
  changed_ = false;
  last_decision_ = now;
  std::erase_if(loading_,
                [&](const auto& it) { return now - it.second.since >= options_.load_timeout; });
  if (load_limit_ == 0 && !newest_.empty()) {
    // The limit is set once a version is announced, because all engines are known by then.
    load_limit_ = options_.initial_load_share * static_cast<double>(engines.size());
  }
  if (loading_.size() >= max_concurrent_loads()) {
    return {};
  }
  auto models = count_coverage(engines);
  auto candidates = find_candidates(engines, now);
  std::vector<load_order> orders;
  while (loading_.size() < max_concurrent_loads()) {
    auto order = next_load(candidates, models, now);
    if (!order) {
      break;
    }
    candidate_list& list = candidates.find(order->model)->second;
    coverage& covered = models.find(order->model)->second;
    covered.usable += list.list[list.next].too_old ? 1 : 0;
    ++covered.current;
    ++list.next;
    loading_.emplace(order->engine, load{*order, now});
    orders.push_back(*std::move(order));
  }
  return orders;
}

bool weight_schedule::is_loading(std::string_view engine, std::string_view model) const {
  const auto it = loading_.find(engine);
  return it != loading_.end() && it->second.order.model == model;
}

std::size_t weight_schedule::max_concurrent_loads() const {
  return std::max(options_.min_concurrent_loads, static_cast<std::size_t>(load_limit_));
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
  changed_ = true;
  if (now - since <= options_.slow_load_threshold) {
    load_limit_ += options_.limit_increase;
  } else if (since > last_limit_decrease_) {
    // Loads that started before the last decrease were not measured under the current limit.
    load_limit_ -= 1;
    last_limit_decrease_ = now;
  }
}

void weight_schedule::failed(std::string_view engine, time_point now) {
  if (const auto it = loading_.find(engine); it != loading_.end()) {
    loading_.erase(it);
  }
  changed_ = true;
  std::erase_if(not_before_, [now](const auto& it) { return it.second <= now; });
  not_before_[std::string(engine)] = now + options_.retry_delay;
}

} // namespace boragedoor::duties
