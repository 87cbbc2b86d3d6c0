#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ledger/sample.h"
#include "ledger/step_record.h"

namespace boragedoor::ledger {

/// Compares the samples that were produced with those that the trainer received. Collects
/// violations of guarantees G1 to G3: each sample is delivered exactly once in effect, within the
/// staleness bound at its first delivery, and with the weight versions that generated it.
class sample_checker {
public:
  explicit sample_checker(step_spec spec) : spec_(std::move(spec)) {}

  void produced(const sample_result& result);
  /// Checks the staleness of a batch that was sent for the first time, by a holder that knew
  /// `version` as the trainer's version.
  void first_delivery(std::uint64_t batch_number, const std::string& content,
                      std::uint64_t version);
  /// Checks a batch that the trainer received. A batch received again must have the same content.
  void received(std::uint64_t batch_number, const std::string& content);
  void add_violation(std::string description) { violations_.push_back(std::move(description)); }
  /// Checks that every sample was received. Call it when the step is complete.
  void finish();

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

private:
  void check_sample(const std::string& id, const std::string& attempt, const std::string& text,
                    const std::vector<std::uint64_t>& versions);

  step_spec spec_;
  std::map<std::string, sample_result> produced_;
  std::map<std::uint64_t, std::string> batches_;
  std::map<std::string, int> received_;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::ledger
