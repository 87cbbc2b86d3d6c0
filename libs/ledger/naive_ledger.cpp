#include "ledger/naive_ledger.h"

namespace boragedoor::ledger {

naive_ledger::naive_ledger(std::string trainer, std::uint64_t step, const step_spec& spec)
    : trainer_(std::move(trainer)), step_(step),
      samples_(spec.groups, {}, 0, milliseconds(200), seconds(5)) {}

naive_ledger naive_ledger::create(std::string trainer, std::uint64_t step, const step_spec& spec) {
  return {std::move(trainer), step, spec};
}

std::vector<sample_attempt> naive_ledger::start(time_point now) {
  return samples_.start(now, max_samples_per_step);
}

void naive_ledger::finish_sample(time_point now, sample_result result) {
  const auto group = samples_.finish(now, std::move(result));
  if (!group) {
    return;
  }
  batch_builder builder(0, duration::zero());
  builder.add(now, *group);
  const std::uint64_t n = batches_.size() + 1;
  batches_[n] = batch_content(trainer_, step_, n, *builder.take_batch(now, true, true));
}

std::optional<std::string> naive_ledger::poll(std::uint64_t after) const {
  const auto it = batches_.find(after + 1);
  return it == batches_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace boragedoor::ledger
