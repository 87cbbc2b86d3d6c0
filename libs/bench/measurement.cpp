#include "bench/measurement.h"

#include <algorithm>
#include <cmath>

#include "admission/fair_share.h"

namespace boragedoor::bench {

namespace {

std::size_t index_of(request_kind it) {
  return static_cast<std::size_t>(it);
}

double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      static_cast<std::ptrdiff_t>(std::ceil(fraction * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

double ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

} // namespace

void measurement::arrived(const arrival& it) {
  requests_.at(index_of(it.kind)) += 1;
  (it.kind == request_kind::lookup ? lookups_ : tokens_)[it.workspace].wanted += it.tokens;
  if (it.kind == request_kind::rollout) {
    if (groups_.size() <= it.group) {
      groups_.resize(it.group + 1);
    }
    groups_[it.group].open += 1;
  }
}

void measurement::ended(const arrival& it, ending how, time_point now) {
  endings_.at(static_cast<std::size_t>(how)).at(index_of(it.kind)) += 1;
  if (it.kind == request_kind::rollout) {
    count_group(it, how, now);
  }
  if (how != ending::in_time) {
    return;
  }
  (it.kind == request_kind::lookup ? lookups_ : tokens_)[it.workspace].served += it.tokens;
  const double ms = std::chrono::duration<double, std::milli>(now - it.at).count();
  if (it.kind == request_kind::lookup) {
    lookup_ms_.push_back(ms);
    return;
  }
  useful_ += it.tokens;
  if (it.kind == request_kind::chat) {
    chat_ms_.push_back(ms);
  } else if (now <= end_) {
    rollout_tokens_ += it.tokens;
  }
}

void measurement::count_group(const arrival& it, ending how, time_point now) {
  group& known = groups_[it.group];
  known.open -= 1;
  known.complete = known.complete && how == ending::in_time;
  if (known.open == 0 && known.complete) {
    group_s_.push_back(std::chrono::duration<double>(now - it.at).count());
  }
}

void measurement::load(double most, double mean) {
  most_sum_ += most;
  mean_sum_ += mean;
}

void measurement::cache(std::uint64_t hits, std::uint64_t blocks) {
  block_hits_ += hits;
  blocks_ += blocks;
}

double measurement::worst_share(const std::vector<account>& accounts, const deployment& where,
                                double capacity) {
  std::vector<admission::share_demand> demands;
  demands.reserve(accounts.size());
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    demands.push_back({accounts[i].wanted, where.workspaces[i].share});
  }
  const auto entitled = admission::max_min_shares(capacity, demands);
  double worst = 1;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    worst = std::min(worst, ratio(accounts[i].served, entitled[i]));
  }
  return worst;
}

figures measurement::result(const deployment& where, duration length) const {
  figures out;
  const double seconds_long = std::chrono::duration<double>(length).count();
  out.lookup_p50_ms = quantile(lookup_ms_, 0.5);
  out.lookup_p99_ms = quantile(lookup_ms_, 0.99);
  out.chat_p50_ms = quantile(chat_ms_, 0.5);
  out.chat_p99_ms = quantile(chat_ms_, 0.99);
  out.group_p50_s = quantile(group_s_, 0.5);
  out.group_p99_s = quantile(group_s_, 0.99);
  out.rollout_tokens_per_second = rollout_tokens_ / seconds_long;
  out.worst_token_share =
      worst_share(tokens_, where, seconds_long * where.engines * full_rate(engine_model()));
  out.worst_lookup_share =
      worst_share(lookups_, where, seconds_long * where.services * full_rate(service_model()));
  out.requests = requests_;
  out.late = endings_.at(static_cast<std::size_t>(ending::late));
  out.refused = endings_.at(static_cast<std::size_t>(ending::refused));
  out.failed = endings_.at(static_cast<std::size_t>(ending::failed));
  out.refusals = refusals_;
  double total = 0;
  for (const std::uint64_t n : requests_) {
    total += static_cast<double>(n);
  }
  out.retries_per_request = ratio(static_cast<double>(retries_), total);
  out.duplicates = duplicates_;
  out.pauses = pauses_;
  out.hedges = hedges_;
  out.wasted_share = ratio(wasted_, wasted_ + useful_);
  out.imbalance = ratio(most_sum_, mean_sum_);
  out.cache_hit_share = ratio(static_cast<double>(block_hits_), static_cast<double>(blocks_));
  return out;
}

json to_json(const figures& it) {
  const auto by_kind = [](const std::array<std::uint64_t, 3>& n) {
    return json{{"lookup", n[0]}, {"chat", n[1]}, {"rollout", n[2]}};
  };
  return {{"lookup_p50_ms", it.lookup_p50_ms},
          {"lookup_p99_ms", it.lookup_p99_ms},
          {"chat_p50_ms", it.chat_p50_ms},
          {"chat_p99_ms", it.chat_p99_ms},
          {"rollout_tokens_per_second", it.rollout_tokens_per_second},
          {"group_p50_s", it.group_p50_s},
          {"group_p99_s", it.group_p99_s},
          {"worst_token_share", it.worst_token_share},
          {"worst_lookup_share", it.worst_lookup_share},
          {"requests", by_kind(it.requests)},
          {"late", by_kind(it.late)},
          {"refused", by_kind(it.refused)},
          {"failed", by_kind(it.failed)},
          {"refusals", it.refusals},
          {"retries_per_request", it.retries_per_request},
          {"duplicates", it.duplicates},
          {"pauses", it.pauses},
          {"hedges", it.hedges},
          {"wasted_share", it.wasted_share},
          {"imbalance", it.imbalance},
          {"cache_hit_share", it.cache_hit_share}};
}

} // namespace boragedoor::bench
