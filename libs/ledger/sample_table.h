#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/cas_write.h"
#include "base/time.h"
#include "ledger/sample.h"
#include "ledger/step_record.h"

namespace boragedoor::ledger {

/// The results of all samples of a group, ordered by index.
struct finished_group {
  std::string id;
  std::vector<sample_result> samples;
};

/// Tracks which samples of a step are waiting, running or finished.
class sample_table {
public:
  sample_table() = default;
  /// Groups in `committed_groups` are already in a batch and are not run. The attempts of each
  /// sample are numbered from 1 for each `token`.
  sample_table(const std::vector<group_spec>& groups, const std::set<std::string>& committed_groups,
               std::uint64_t token, duration retry_delay, duration max_retry_delay);

  /// Starts waiting samples that are due until `max_running` samples run.
  std::vector<sample_attempt> start(time_point now, std::uint32_t max_running);
  /// Accepts a result of the running attempt of its sample and ignores any other. Returns the group
  /// if this was its last unfinished sample.
  std::optional<finished_group> finish(time_point now, sample_result result);
  /// Records that the running attempt failed, and schedules a retry after a delay.
  void fail(time_point now, const sample_attempt& attempt);
  /// Runs all samples of a finished group again, as new attempts.
  void rerun(const std::string& group);

  /// Whether every group is finished.
  [[nodiscard]] bool all_finished() const { return unfinished_samples_ == 0; }
  [[nodiscard]] std::uint32_t running() const { return running_; }
  /// The earliest time at which a waiting sample may start, regardless of the limit on running
  /// samples.
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
  enum class sample_state { waiting, running, finished };
  struct sample {
    sample_state state = sample_state::waiting;
    std::uint32_t attempt = 0;
    backoff delay;
    sample_result result;
  };
  struct group {
    std::vector<sample> samples;
    std::uint32_t unfinished = 0;
  };
  struct sample_position {
    std::string group;
    std::uint32_t index = 0;
  };

  sample* find_running(const sample_attempt& attempt);
  static finished_group take_results(const std::string& id, group& source);

  std::uint64_t token_ = 0;
  std::map<std::string, group> groups_;
  /// Waiting samples, keyed by their earliest start time. Equal times keep insertion order.
  std::multimap<time_point, sample_position> waiting_;
  std::uint32_t running_ = 0;
  std::uint64_t unfinished_samples_ = 0;
};

/// Parses the index from a sample id "{group}/{index}". Returns nothing if the id is malformed.
std::optional<std::uint32_t> sample_index(const sample_attempt& attempt);

} // namespace boragedoor::ledger
