#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ledger/sample.h"
#include "ledger/step_record.h"

namespace boragedoor::ledger {

/// Sees what was produced and what the trainer received, and collects violations of G1 to G3.
class sample_checker {
public:
  explicit sample_checker(step_spec spec) : spec_(std::move(spec)) {}

  void produced(const sample_result& it);
  /// A batch was sent for the first time, by a holder that knew `version` as the trainer's.
  void first_delivery(std::uint64_t n, const std::string& content, std::uint64_t version);
  /// The trainer received a batch. It keeps the first content of a number.
  void received(std::uint64_t n, const std::string& content);
  void violation(std::string what) { violations_.push_back(std::move(what)); }
  /// The step is complete: every sample must have been received in one batch.
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
