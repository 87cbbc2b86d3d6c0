#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"

namespace boragedoor::standin {

/// What a trainer was promised: each sample once, whole groups, no stale sample, and batches that
/// are repeated byte for byte. Pure.
class trainer_checks {
public:
  /// Starts a step. `groups` maps group ids to their sizes.
  void start_step(std::int64_t step, std::map<std::string, std::int64_t> groups,
                  std::int64_t weight_version, std::int64_t staleness_bound);

  /// Checks a batch as it was received. Returns true when it is new, false when it is a repetition
  /// or no batch.
  bool receive(std::string_view body);

  /// True once every sample of the step has come.
  [[nodiscard]] bool step_is_whole() const;

  /// Reports the groups that are still missing.
  void finish_step();

  /// Reports something that was seen elsewhere.
  void add_violation(const std::string& text);

  [[nodiscard]] std::int64_t last_batch() const { return last_batch_; }
  [[nodiscard]] std::int64_t samples() const { return samples_; }
  [[nodiscard]] std::int64_t batches() const { return batches_; }
  [[nodiscard]] std::int64_t repetitions() const { return repetitions_; }
  /// Greatest distance of a sample's oldest weight version from the trainer's.
  [[nodiscard]] std::int64_t greatest_staleness() const { return greatest_staleness_; }
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

private:
  struct seen_batch {
    std::string body;
    json content;
    std::optional<bool> step_complete;
  };

  void check_repetition(const seen_batch& first, std::string_view body, const json& batch);
  void check_sample(const json& sample, std::map<std::string, std::int64_t>& counts);
  void check_versions(const std::string& id, const json& sample);

  std::int64_t step_ = 0;
  std::int64_t weight_version_ = 0;
  std::int64_t staleness_bound_ = 0;
  // Sizes of the groups that have not come yet.
  std::map<std::string, std::int64_t> missing_;
  std::map<std::int64_t, seen_batch> seen_;
  std::set<std::string> sample_ids_;
  std::int64_t last_batch_ = 0;
  std::int64_t samples_ = 0;
  std::int64_t batches_ = 0;
  std::int64_t repetitions_ = 0;
  std::int64_t greatest_staleness_ = 0;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::standin
