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
  /// Quantile of the observed lengths that is used as the prediction.
  double quantile = 0.8;
  /// Number of lengths kept for each workspace and class.
  std::size_t window = 128;
  /// With fewer samples, the prediction is a blend of the quantile and the stated length.
  std::size_t fewest_samples = 16;
  /// Length assumed for requests without a stated length until samples are available.
  int default_tokens = 512;
};

/// Predicts how many tokens a request will produce from the lengths of earlier requests of the same
/// workspace and class. Stated lengths alone are unreliable: callers state far more than they use.
class length_predictor {
public:
  /// Fails with `invalid_argument` on an empty window or a quantile outside 0..1.
  static result<length_predictor> create(const length_options& options);

  void record(std::string_view workspace, std::string_view kind, int tokens);
  /// Returns at least 1 and, if `stated_tokens` is positive, at most `stated_tokens`. Starts at the
  /// stated length and approaches the observed quantile as samples are recorded.
  [[nodiscard]] int predict(std::string_view workspace, std::string_view kind,
                            int stated_tokens) const;

  /// Returns whether the prediction is based on samples alone, without the stated length.
  [[nodiscard]] bool has_enough_samples(std::string_view workspace, std::string_view kind) const;

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
