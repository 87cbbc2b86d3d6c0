#include "freshness/weight_rollout.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::freshness {

namespace {

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

weight_rollout::weight_rollout(const weight_rollout_options& options)
    : options_(options), fetch_tokens_(options.fetch_burst) {}

result<weight_rollout> weight_rollout::create(const weight_rollout_options& options) {
  const bool times =
      options.swap_duration > duration{} && options.swap_timeout >= options.swap_duration &&
      options.first_backoff > duration{} && options.longest_backoff >= options.first_backoff &&
      options.set_aside_time >= options.longest_backoff;
  if (options.most_swapping_share <= 0 || options.most_swapping_share > 1 ||
      options.fetches_per_second <= 0 || options.fetch_burst < 1 || options.most_failures < 1 ||
      !times) {
    return error{error_code::invalid_argument,
                 "weight rollout: the share must be within 0 and 1, the rates and times positive, "
                 "and each longer time at least the shorter one"};
  }
  return weight_rollout(options);
}

bool weight_rollout::announce(std::string_view model, std::uint64_t version, time_point now) {
  auto it = models_.find(model);
  if (it == models_.end()) {
    it = models_.emplace(std::string(model), model_state{}).first;
  }
  if (version <= it->second.newest) {
    return false;
  }
  if (complete(model)) {
    it->second.waiting_since = now;
  }
  it->second.newest = version;
  return true;
}

void weight_rollout::put(const engine_view& it) {
  engine& known = engines_[it.id];
  known.view = it;
  if (known.loading != 0 && it.version >= known.loading) {
    complete_swap(known, it.version);
  } else if (it.version != 0) {
    known.last_good = it.version;
  }
}

void weight_rollout::remove(std::string_view id) {
  if (const auto it = engines_.find(id); it != engines_.end()) {
    engines_.erase(it);
  }
}

void weight_rollout::complete_swap(engine& it, std::uint64_t version) {
  it.view.version = version;
  it.last_good = version;
  it.loading = 0;
  if (version >= it.failed_version) {
    it.failures = 0;
    it.failed_version = 0;
  }
}

void weight_rollout::swap_finished(std::string_view id, std::uint64_t version) {
  const auto it = engines_.find(id);
  // An answer that comes after the timeout still says what the engine holds now.
  if (it != engines_.end() && version >= it->second.loading) {
    complete_swap(it->second, version);
  }
}

void weight_rollout::swap_failed(std::string_view id, time_point now, random_engine& random) {
  const auto found = engines_.find(id);
  if (found == engines_.end() || found->second.loading == 0) {
    return;
  }
  engine& it = found->second;
  const bool rolled_back = it.loading < it.failed_version;
  if (!rolled_back && it.failed_version != it.loading) {
    it.failed_version = it.loading;
    it.failures = 0;
  }
  it.loading = 0;
  it.failures += 1;
  if (it.failures >= options_.most_failures) {
    it.roll_back_pending =
        it.failures == options_.most_failures && it.view.version == 0 && it.last_good != 0;
    it.aside_pending = it.failures == options_.most_failures && !it.roll_back_pending;
    it.aside_pending = it.aside_pending || rolled_back;
    it.not_before = now + options_.set_aside_time;
    return;
  }
  const double delay = std::min(to_seconds(options_.first_backoff) * std::exp2(it.failures - 1),
                                to_seconds(options_.longest_backoff));
  const double jitter = std::uniform_real_distribution<double>(1, 2)(random);
  it.not_before =
      now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(delay * jitter));
}

void weight_rollout::refill(time_point now) {
  const double passed = std::max(0.0, to_seconds(now - refilled_));
  fetch_tokens_ =
      std::min(options_.fetch_burst, fetch_tokens_ + passed * options_.fetches_per_second);
  refilled_ = std::max(refilled_, now);
}

void weight_rollout::expire(time_point now, random_engine& random) {
  for (const auto& [id, it] : engines_) {
    if (it.loading != 0 && now - it.ordered >= options_.swap_timeout) {
      swap_failed(id, now, random);
    }
  }
}

bool weight_rollout::wants_swap(const engine& it, time_point now) const {
  const std::uint64_t target = newest(it.view.model);
  if (!it.view.ready || it.loading != 0 || it.view.version >= target) {
    return false;
  }
  return it.roll_back_pending || it.failed_version != target || now >= it.not_before;
}

std::vector<rollout_action> weight_rollout::decide(time_point now, random_engine& random) {
  refill(now);
  expire(now, random);
  std::vector<rollout_action> out;
  for (auto& [id, it] : engines_) {
    if (it.aside_pending) {
      it.aside_pending = false;
      out.emplace_back(set_aside_order{id, it.view.model});
    }
  }
  for (const std::string& model : models_by_wait()) {
    decide_model(model, now, out);
  }
  return out;
}

void weight_rollout::decide_model(std::string_view model, time_point now,
                                  std::vector<rollout_action>& out) {
  std::map<std::string_view, data_centre_use> places;
  std::map<std::string_view, std::vector<engine*>> waiting;
  for (auto& [id, it] : engines_) {
    if (it.view.model != model || !it.view.ready) {
      continue;
    }
    data_centre_use& place = places[it.view.data_centre];
    place.engines += 1;
    place.swapping += it.loading != 0 ? 1 : 0;
    if (wants_swap(it, now)) {
      waiting[it.view.data_centre].push_back(&it);
    }
  }
  for (auto& [name, list] : waiting) {
    // The least loaded is last, where it is taken from.
    std::stable_sort(list.begin(), list.end(), [](const engine* left, const engine* right) {
      return left->view.running > right->view.running;
    });
  }
  const std::size_t most = bound(model);
  for (std::size_t n = swapping(model); n < most && fetch_tokens_ >= 1 && !waiting.empty(); ++n) {
    // The data centre with the least share of swapping engines, so that none loses all its engines
    // at the same time; among equal ones, that of the least loaded engine.
    const auto chosen = std::min_element(
        waiting.begin(), waiting.end(), [&places](const auto& left, const auto& right) {
          const data_centre_use& a = places[left.first];
          const data_centre_use& b = places[right.first];
          return std::pair(a.swapping / a.engines, left.second.back()->view.running) <
                 std::pair(b.swapping / b.engines, right.second.back()->view.running);
        });
    order(*chosen->second.back(), now, out);
    places[chosen->first].swapping += 1;
    chosen->second.pop_back();
    if (chosen->second.empty()) {
      waiting.erase(chosen);
    }
  }
}

void weight_rollout::order(engine& it, time_point now, std::vector<rollout_action>& out) {
  const std::uint64_t target = newest(it.view.model);
  fetch_tokens_ -= 1;
  it.ordered = now;
  if (it.roll_back_pending && it.failed_version == target) {
    it.loading = it.last_good;
    out.emplace_back(roll_back_order{it.view.id, it.view.model, it.last_good});
  } else {
    it.loading = target;
    out.emplace_back(swap_order{it.view.id, it.view.model, target});
  }
  it.roll_back_pending = false;
}

std::vector<std::string> weight_rollout::models_by_wait() const {
  std::vector<std::string> out;
  for (const auto& [name, it] : models_) {
    out.push_back(name);
  }
  std::stable_sort(out.begin(), out.end(), [this](const auto& left, const auto& right) {
    return models_.at(left).waiting_since < models_.at(right).waiting_since;
  });
  return out;
}

std::uint64_t weight_rollout::newest(std::string_view model) const {
  const auto it = models_.find(model);
  return it == models_.end() ? 0 : it->second.newest;
}

std::size_t weight_rollout::swapping(std::string_view model) const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(), [model](const auto& it) {
        return it.second.view.model == model && it.second.loading != 0;
      }));
}

std::size_t weight_rollout::bound(std::string_view model) const {
  const auto ready = std::count_if(engines_.begin(), engines_.end(), [model](const auto& it) {
    return it.second.view.model == model && it.second.view.ready;
  });
  const auto waves =
      std::max<std::ptrdiff_t>(1, (options_.deadline - options_.reserve) / options_.swap_duration);
  const std::ptrdiff_t needed = (ready + waves - 1) / waves;
  const double share = std::floor(options_.most_swapping_share * static_cast<double>(ready));
  return static_cast<std::size_t>(
      std::max({std::ptrdiff_t{1}, needed, static_cast<std::ptrdiff_t>(share)}));
}

bool weight_rollout::due(std::string_view id) const {
  const auto it = engines_.find(id);
  return it != engines_.end() &&
         (it->second.loading != 0 || it->second.view.version < newest(it->second.view.model));
}

bool weight_rollout::complete(std::string_view model) const {
  const std::uint64_t target = newest(model);
  return std::none_of(engines_.begin(), engines_.end(), [model, target](const auto& it) {
    return it.second.view.model == model && it.second.view.ready && it.second.view.version < target;
  });
}

} // namespace boragedoor::freshness
