#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace boragedoor::ledger {

/// Names one attempt at one sample. Attempts of two holders differ in the token.
struct sample_attempt {
  /// "{group}/{index}".
  std::string sample;
  std::string group;
  std::uint64_t token = 0;
  std::uint32_t attempt = 0;

  friend bool operator==(const sample_attempt&, const sample_attempt&) = default;
};

/// What an attempt produced.
struct sample_result {
  sample_attempt attempt;
  std::string text;
  /// All versions that took part, in any order. An attempt without one is treated as failed.
  std::vector<std::uint64_t> weight_versions;
  /// Not empty if the sample can never run, for example "quarantined". It is then delivered with
  /// this error, without text and versions, so that the step can end.
  std::string error;
  /// Why the text ends there, as the engine said, for example "stop" or "length".
  std::string finish_reason = {};
};

} // namespace boragedoor::ledger
