#include "bench/supply_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace boragedoor::bench {

namespace {

// Lengths: medians differ by group, because its samples share a prompt.
constexpr double median_tokens = 1'200;
constexpr double group_spread = 0.6;
constexpr double sample_spread = 0.4;
constexpr double prediction_spread = 0.2;
// The most that a bound of two versions leaves time for: 6,000 tokens take about 240 s, two
// publishing intervals. Longer samples would run again for ever, under any policy.
constexpr double longest_tokens = 6'000;
constexpr double straggle_factor = 5;
constexpr double straggler_share = 0.02;
constexpr double swap_failure_share = 0.2;
constexpr double chat_tokens = 150;
constexpr double chat_spread = 0.6;

supply_window part(duration length, int from, int until) {
  return {length * from / 20, length * until / 20};
}

bool add_fault(supply_faults& plan, std::string_view name, duration length) {
  if (name == "data_centre_loss") {
    plan.lost_data_centre = 1;
    plan.loss = part(length, 5, 10);
  } else if (name == "cheap_reclaim") {
    plan.reclaims = {part(length, 4, 6), part(length, 8, 10), part(length, 14, 16)};
  } else if (name == "cheap_unavailable") {
    plan.cheap_unavailable = part(length, 6, 14);
  } else if (name == "swap_failures") {
    plan.swap_failure_share = swap_failure_share;
  } else if (name == "store_outage") {
    plan.store_outage = part(length, 10, 13);
  } else if (name == "stragglers") {
    plan.straggler_share = straggler_share;
  } else {
    return name == "none";
  }
  return true;
}

double log_normal(random_engine& random, double median, double spread) {
  return std::lognormal_distribution<double>(std::log(median), spread)(random);
}

} // namespace

result<supply_faults> parse_supply_faults(std::string_view names, duration length) {
  supply_faults plan;
  while (!names.empty()) {
    const std::string_view name = names.substr(0, names.find(','));
    if (!add_fault(plan, name, length)) {
      return error{error_code::invalid_argument,
                   "unknown fault '" + std::string(name) +
                       "'; use none, data_centre_loss, cheap_reclaim, cheap_unavailable, "
                       "swap_failures, store_outage or stragglers"};
    }
    names.remove_prefix(std::min(names.size(), name.size() + 1));
  }
  return plan;
}

result<supply_plan> find_supply_plan(std::string_view name) {
  supply_plan out;
  BOOST_OUTCOME_TRY(where, find_deployment(name));
  out.where = where;
  if (name == "sinaltec") {
    // Two trainers read samples of the one model; the second rests 24 minutes of each hour.
    out.models = {"proposals"};
    out.trainers = {
        {.name = "corridors"},
        {.name = "junctions", .staleness_bound = 3, .publishes = false, .resting_share = 0.4}};
    out.chat_rate = 3;
    return out;
  }
  out.models = {"diagnoses", "tags"};
  out.trainers = {{.name = "diagnoses", .model = 0},
                  {.name = "tags", .model = 1, .staleness_bound = 3, .resting_share = 0.4}};
  out.naive_endpoints = where.engines / 2;
  out.maximum = 3;
  return out;
}

std::vector<sample_length> draw_lengths(std::uint64_t seed, std::size_t trainer, std::size_t group,
                                        int group_size, double stragglers) {
  std::seed_seq sequence{seed, static_cast<std::uint64_t>(trainer),
                         static_cast<std::uint64_t>(group)};
  random_engine random(sequence);
  const double base = log_normal(random, median_tokens, group_spread);
  std::vector<sample_length> out;
  for (int i = 0; i < group_size; ++i) {
    sample_length it;
    it.tokens = std::min(longest_tokens, log_normal(random, base, sample_spread));
    it.predicted = log_normal(random, base, prediction_spread);
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
    it.straggle = drawn < stragglers ? straggle_factor : 1;
    out.push_back(it);
  }
  return out;
}

std::vector<chat_arrival> draw_chats(const supply_plan& plan, std::uint64_t seed, duration length) {
  random_engine random(seed);
  std::vector<chat_arrival> out;
  const double end = std::chrono::duration<double>(length).count();
  for (std::size_t model = 0; model < plan.models.size(); ++model) {
    double at = 0;
    while (true) {
      // The load of a day, compressed into each two hours: from a fifth of the mean to nearly
      // twice.
      const double phase = 2 * std::numbers::pi * at / 7'200;
      const double rate = plan.chat_rate * (1 - 0.8 * std::cos(phase));
      at += std::exponential_distribution<double>(rate)(random);
      if (at >= end) {
        break;
      }
      out.push_back({std::chrono::duration_cast<duration>(std::chrono::duration<double>(at)), model,
                     log_normal(random, chat_tokens, chat_spread)});
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& left, const auto& right) { return left.at < right.at; });
  return out;
}

} // namespace boragedoor::bench
