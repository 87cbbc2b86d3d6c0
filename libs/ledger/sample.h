#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace boragedoor::ledger {

/// Identifies one attempt at one sample. Attempts by different holders have different tokens.
struct sample_attempt {
  /// Sample id in the form "{group}/{index}".
  std::string sample;
  std::string group;
  std::uint64_t token = 0;
  std::uint32_t attempt = 0;

  friend bool operator==(const sample_attempt&, const sample_attempt&) = default;
};

/// Result of an attempt.
struct sample_result {
  sample_attempt attempt;
  std::string text;
  /// All weight versions that generated the text, in any order. An attempt that has neither a
  /// version nor an error is treated as failed.
  std::vector<std::uint64_t> weight_versions;
  /// Set if the sample can never run. The sample is then delivered with
  /// this error instead of text and versions, so that the step can complete.
  std::string error;
  /// Finish reason reported by the engine, for example "stop" or "length".
  std::string finish_reason = {};
};

} // namespace boragedoor::ledger
