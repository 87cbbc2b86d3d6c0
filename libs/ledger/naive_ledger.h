#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "ledger/batch_builder.h"
#include "ledger/sample_table.h"
#include "ledger/step_record.h"

namespace boragedoor::ledger {

/// Baseline for comparison that keeps a step in memory only. It delivers each finished group at
/// once as its own batch without checking staleness, and a new holder restarts the step.
class naive_ledger {
public:
  static naive_ledger create(std::string trainer, std::uint64_t step, const step_spec& spec);

  std::vector<sample_attempt> start(time_point now);
  void finish_sample(time_point now, sample_result result);
  /// Returns the content of the batch that follows batch `after`, if there is one.
  [[nodiscard]] std::optional<std::string> poll(std::uint64_t after) const;

private:
  naive_ledger(std::string trainer, std::uint64_t step, const step_spec& spec);

  std::string trainer_;
  std::uint64_t step_;
  sample_table samples_;
  std::map<std::uint64_t, std::string> batches_;
};

} // namespace boragedoor::ledger
