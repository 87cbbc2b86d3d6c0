#include "bench/workload.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace boragedoor::bench {

namespace {

constexpr int group_size = 8;
// Lognormal lengths: a median of 250 tokens and a long tail (p99 about 4 times the median).
constexpr double median_tokens = 250;
constexpr double length_sigma = 0.6;
constexpr double mean_tokens = 300;
// A prompt has 32 blocks; all of a workspace's prompts share the first 8, a group's all.
constexpr int prompt_blocks = 32;
constexpr int workspace_blocks = 8;
constexpr duration step_period = seconds(120);
constexpr duration step_deadline = seconds(360);
constexpr double chat_rate = 1.0;
constexpr duration chat_deadline = seconds(20);
constexpr duration lookup_deadline = seconds(2);
constexpr double mean_lookup_work = 2;
constexpr double non_idempotent_share = 0.1;
constexpr double straggle_factor = 8;
constexpr double greedy_factor = 10;

class generator {
public:
  generator(const deployment& where, const workload_options& options)
      : where_(where), options_(options) {}

  std::vector<arrival> run() {
    for (std::size_t i = 0; i < where_.workspaces.size(); ++i) {
      const double factor = static_cast<int>(i) == options_.greedy_workspace ? greedy_factor : 1;
      const double share = where_.workspaces[i].share * factor;
      // Each stream has its own generator, so that one workspace's rate leaves the others as is.
      stream(i, request_kind::lookup, share * where_.lookup_rate);
      stream(i, request_kind::chat, share * chat_rate);
      steps(i, share);
    }
    std::stable_sort(out_.begin(), out_.end(),
                     [](const arrival& left, const arrival& right) { return left.at < right.at; });
    return std::move(out_);
  }

private:
  random_engine engine_for(std::size_t workspace, std::string_view kind) const {
    return random_engine(
        hash64(where_.workspaces[workspace].name + std::string(kind), options_.seed));
  }

  static duration from_seconds(double it) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
  }

  std::size_t any_instance(random_engine& random) const {
    const auto n = static_cast<std::size_t>(where_.instances);
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  }

  void stream(std::size_t workspace, request_kind kind, double rate) {
    random_engine random = engine_for(workspace, kind == request_kind::chat ? "/chat" : "/lookup");
    std::exponential_distribution<> gap(rate);
    const time_point end{options_.length};
    for (time_point at{from_seconds(gap(random))}; at < end; at += from_seconds(gap(random))) {
      arrival it;
      it.at = at;
      it.kind = kind;
      it.workspace = workspace;
      it.instance = any_instance(random);
      if (kind == request_kind::lookup) {
        it.tokens = 1 + static_cast<int>(
                            std::exponential_distribution<>(1 / (mean_lookup_work - 0.5))(random));
        it.stated_tokens = 8;
        it.deadline = at + lookup_deadline;
        it.idempotent = std::bernoulli_distribution(1 - non_idempotent_share)(random);
      } else {
        it.tokens = 20 + std::poisson_distribution<>(60)(random);
        it.stated_tokens = 1'024;
        it.prompt_tokens = 256;
        it.deadline = at + chat_deadline;
      }
      it.stated_priority = where_.workspaces[workspace].stated_priority;
      out_.push_back(std::move(it));
    }
  }

  // A trainer sends all groups of a step at once and the next step a period later.
  void steps(std::size_t workspace, double share) {
    random_engine random = engine_for(workspace, "/steps");
    const double tokens = options_.load * share * where_.engines * full_rate(engine_model());
    const double groups =
        tokens * std::chrono::duration<double>(step_period).count() / (mean_tokens * group_size);
    const time_point end{options_.length};
    const auto offset =
        std::uniform_int_distribution<duration::rep>(0, step_period.count())(random);
    double due = 0;
    for (time_point at{duration(offset)}; at < end; at += step_period) {
      due += groups;
      while (due >= 1) {
        group(workspace, at, random);
        due -= 1;
      }
    }
  }

  void group(std::size_t workspace, time_point at, random_engine& random) {
    const workspace_plan& plan = where_.workspaces[workspace];
    arrival it;
    it.at = at;
    it.kind = request_kind::rollout;
    it.workspace = workspace;
    it.stated_tokens = static_cast<int>(median_tokens * plan.overstatement);
    it.stated_priority = plan.stated_priority;
    it.prompt_tokens = prompt_blocks * block_tokens;
    it.deadline = at + step_deadline;
    it.group = next_group_++;
    it.group_size = group_size;
    it.instance = any_instance(random);
    for (std::uint64_t i = 0; i < prompt_blocks; ++i) {
      const std::string scope =
          i < workspace_blocks ? plan.name : plan.name + std::to_string(it.group);
      it.prefix.push_back(hash64(scope, i));
    }
    std::lognormal_distribution<> length(std::log(median_tokens), length_sigma);
    for (int i = 0; i < group_size; ++i) {
      it.tokens = std::clamp(static_cast<int>(length(random)), 10, it.stated_tokens);
      it.straggle =
          std::bernoulli_distribution(options_.straggler_share)(random) ? straggle_factor : 1;
      out_.push_back(it);
    }
  }

  const deployment& where_;
  const workload_options& options_;
  std::vector<arrival> out_;
  std::size_t next_group_ = 0;
};

} // namespace

std::vector<arrival> make_arrivals(const deployment& where, const workload_options& options) {
  return generator(where, options).run();
}

} // namespace boragedoor::bench
