#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"

namespace boragedoor::admission {

struct length_options {
  /// Quantile of the real lengths that a prediction returns.
  double quantile = 0.8;
  /// Lengths remembered for each workspace and class.
  std::size_t window = 128;
  /// Until this many lengths are known, predictions lean on the stated length.
  std::size_t fewest_samples = 16;
  /// Assumed for requests that state nothing, before lengths are known.
  int default_tokens = 512;
};

/// Predicts how many tokens a request will produce, from what requests of the same workspace and
/// class really produced: callers state far more than they use.
class length_predictor {
public:
  /// Fails with `invalid_argument` on an empty window or a quantile outside 0..1.
  static result<length_predictor> create(const length_options& options);

  void record(std::string_view workspace, std::string_view kind, int tokens);
  /// Returns at least 1 and at most `stated` (if that is above 0). Starts at the stated length and
  /// moves to the observed quantile as samples come in.
  [[nodiscard]] int predict(std::string_view workspace, std::string_view kind, int stated) const;

  /// Whether enough lengths are known that the prediction no longer leans on what is stated.
  [[nodiscard]] bool trusted(std::string_view workspace, std::string_view kind) const;

private:
  struct history {
    std::vector<int> lengths;
    std::size_t next = 0;
    int quantile = 0;
  };
  explicit length_predictor(const length_options& options) : options_(options) {}

  length_options options_;
  std::map<std::pair<std::string, std::string>, history> histories_;
};

} // namespace boragedoor::admission
