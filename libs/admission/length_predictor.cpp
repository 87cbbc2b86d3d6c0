#include "admission/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::admission {

namespace {

int quantile_of(std::vector<int> lengths, double quantile) {
  const auto index =
      static_cast<std::ptrdiff_t>(std::ceil(quantile * static_cast<double>(lengths.size() - 1)));
  std::nth_element(lengths.begin(), lengths.begin() + index, lengths.end());
  return lengths[static_cast<std::size_t>(index)];
}

} // namespace

result<length_predictor> length_predictor::create(const length_options& options) {
  if (options.window == 0 || options.fewest_samples == 0 || options.default_tokens < 1 ||
      options.quantile < 0 || options.quantile > 1) {
    return error{error_code::invalid_argument,
                 "length predictor: window, fewest_samples and default_tokens must be positive and "
                 "quantile within 0 and 1"};
  }
  return length_predictor(options);
}

void length_predictor::record(std::string_view workspace, std::string_view kind, int tokens) {
  history& it = histories_[{std::string(workspace), std::string(kind)}];
  if (it.lengths.size() < options_.window) {
    it.lengths.push_back(tokens);
  } else {
    it.lengths[it.next] = tokens;
  }
  it.next = (it.next + 1) % options_.window;
  it.quantile = quantile_of(it.lengths, options_.quantile);
}

int length_predictor::predict(std::string_view workspace, std::string_view kind,
                              int stated_tokens) const {
  const int initial = stated_tokens > 0 ? stated_tokens : options_.default_tokens;
  const auto it = histories_.find({std::string(workspace), std::string(kind)});
  if (it == histories_.end()) {
    return initial;
  }
  const double confidence = std::min(1.0, static_cast<double>(it->second.lengths.size()) /
                                              static_cast<double>(options_.fewest_samples));
  const double blend = confidence * it->second.quantile + (1 - confidence) * initial;
  const int tokens = std::max(1, static_cast<int>(std::lround(blend)));
  return stated_tokens > 0 ? std::min(tokens, stated_tokens) : tokens;
}

bool length_predictor::has_enough_samples(std::string_view workspace, std::string_view kind) const {
  const auto it = histories_.find({std::string(workspace), std::string(kind)});
  return it != histories_.end() && it->second.lengths.size() >= options_.fewest_samples;
}

} // namespace boragedoor::admission
