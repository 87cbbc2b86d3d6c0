#include "standin/trainer_checks.h"

#include <algorithm>
#include <utility>

namespace boragedoor::standin {

namespace {

/// What must not change when a batch is repeated. Whether the step is complete may.
json fixed_content(json batch) {
  batch.erase("step_complete");
  return batch;
}

} // namespace

void trainer_checks::start_step(std::int64_t step, std::map<std::string, std::int64_t> groups,
                                std::int64_t weight_version, std::int64_t staleness_bound) {
  step_ = step;
  missing_ = std::move(groups);
  weight_version_ = weight_version;
  staleness_bound_ = staleness_bound;
  seen_.clear();
  last_batch_ = 0;
}

bool trainer_checks::receive(std::string_view body) {
  const auto batch = parse_json(body);
  const auto number = batch ? integer_field(batch.value(), "batch") : std::nullopt;
  if (!number || !batch.value().contains("samples") || !batch.value()["samples"].is_array()) {
    add_violation("an answer is no batch");
    return false;
  }
  const auto first = seen_.find(*number);
  if (first != seen_.end()) {
    check_repetition(first->second, body, batch.value());
    return false;
  }
  seen_[*number] = {std::string(body), fixed_content(batch.value()),
                    bool_field(batch.value(), "step_complete")};
  last_batch_ = std::max(last_batch_, *number);
  ++batches_;
  std::map<std::string, std::int64_t> counts;
  for (const json& sample : batch.value()["samples"]) {
    check_sample(sample, counts);
  }
  for (const auto& [group, n] : counts) {
    const auto place = missing_.find(group);
    if (place == missing_.end()) {
      add_violation("group " + group + " was not asked for or came before");
    } else {
      if (place->second != n) {
        add_violation("group " + group + " came with " + std::to_string(n) + " samples of " +
                      std::to_string(place->second));
      }
      missing_.erase(place);
    }
  }
  return true;
}

void trainer_checks::check_repetition(const seen_batch& first, std::string_view body,
                                      const json& batch) {
  ++repetitions_;
  const bool same_end = first.step_complete == bool_field(batch, "step_complete");
  const bool same = same_end ? first.body == body : first.content == fixed_content(batch);
  if (!same) {
    add_violation("batch " + std::to_string(*integer_field(batch, "batch")) +
                  " was repeated with other bytes");
  }
}

void trainer_checks::check_sample(const json& sample, std::map<std::string, std::int64_t>& counts) {
  const auto id = string_field(sample, "id");
  const auto group = string_field(sample, "group");
  if (!id || !group || !string_field(sample, "attempt") || !string_field(sample, "text") ||
      !string_field(sample, "finish_reason")) {
    add_violation("a sample lacks its id, group, attempt, text or finish_reason");
    return;
  }
  ++samples_;
  ++counts[*group];
  // Sample ids may repeat in other steps.
  if (!sample_ids_.insert(std::to_string(step_) + '/' + *id).second) {
    add_violation("sample " + *id + " came twice");
  }
  check_versions(*id, sample);
}

void trainer_checks::check_versions(const std::string& id, const json& sample) {
  std::vector<std::int64_t> versions;
  const auto list = sample.find("weight_versions");
  if (list != sample.end() && list->is_array()) {
    for (const json& it : *list) {
      if (it.is_number_integer()) {
        versions.push_back(it.get<std::int64_t>());
      }
    }
  }
  if (versions.empty()) {
    add_violation("sample " + id + " names no weight version");
    return;
  }
  const auto [oldest, newest] = std::minmax_element(versions.begin(), versions.end());
  const std::int64_t staleness = weight_version_ - *oldest;
  greatest_staleness_ = std::max(greatest_staleness_, staleness);
  if (staleness > staleness_bound_) {
    add_violation("sample " + id + " is " + std::to_string(staleness) +
                  " versions old; the bound is " + std::to_string(staleness_bound_));
  }
  if (*newest > weight_version_) {
    add_violation("sample " + id + " names version " + std::to_string(*newest) +
                  ", which is not published");
  }
}

bool trainer_checks::step_is_whole() const {
  return missing_.empty();
}

void trainer_checks::finish_step() {
  for (const auto& [group, n] : missing_) {
    add_violation("group " + group + " did not come");
  }
}

void trainer_checks::add_violation(const std::string& text) {
  violations_.push_back("step " + std::to_string(step_) + ": " + text);
}

} // namespace boragedoor::standin
