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

/// All samples of a group, in order of their index.
struct finished_group {
  std::string id;
  std::vector<sample_result> samples;
};

/// Which samples of a step wait, run or are finished.
class sample_table {
public:
  sample_table() = default;
  /// Groups in `committed` are in a batch already. Attempts are numbered from 1 under `token`.
  sample_table(const std::vector<group_spec>& groups, const std::set<std::string>& committed,
               std::uint64_t token, duration retry_delay, duration max_retry_delay);

  /// Starts waiting samples until `max_running` run.
  std::vector<sample_attempt> start(time_point now, std::uint32_t max_running);
  /// Takes a result if it is of the running attempt of its sample; otherwise ignores it. Returns
  /// the group if this was its last sample.
  std::optional<finished_group> finish(time_point now, sample_result result);
  /// The running attempt failed; the sample is started again after a delay.
  void fail(time_point now, const sample_attempt& attempt);
  /// Runs a finished group again, as new attempts.
  void rerun(const std::string& group);

  /// Whether every group is finished.
  [[nodiscard]] bool all_finished() const { return open_samples_ == 0; }
  [[nodiscard]] std::uint32_t running() const { return running_; }
  /// When a sample that failed is due to start again, if there is room.
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
  struct place {
    std::string group;
    std::uint32_t index = 0;
  };

  sample* find(const sample_attempt& attempt);
  static finished_group collect(const std::string& id, group& it);

  std::uint64_t token_ = 0;
  std::map<std::string, group> groups_;
  /// Waiting samples by the time from which they may start; equal times keep their order.
  std::multimap<time_point, place> waiting_;
  std::uint32_t running_ = 0;
  std::uint64_t open_samples_ = 0;
};

/// Index of a sample id "{group}/{index}", or nothing if it is malformed.
std::optional<std::uint32_t> sample_index(const sample_attempt& attempt);

} // namespace boragedoor::ledger
