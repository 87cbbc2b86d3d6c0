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

/// The baseline: a step kept in memory only. Every finished group is delivered at once as its own
/// batch, whatever its age, and a new holder starts the step from the beginning.
class naive_ledger {
public:
  static naive_ledger create(std::string trainer, std::uint64_t step, const step_spec& spec);

  std::vector<sample_attempt> start(time_point now);
  void finish_sample(time_point now, sample_result result);
  /// The content of the batch after `after`, if there is one.
  [[nodiscard]] std::optional<std::string> poll(std::uint64_t after) const;

private:
  naive_ledger(std::string trainer, std::uint64_t step, const step_spec& spec);

  std::string trainer_;
  std::uint64_t step_;
  sample_table samples_;
  std::map<std::uint64_t, std::string> batches_;
};

} // namespace boragedoor::ledger
