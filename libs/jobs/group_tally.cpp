#include "jobs/group_tally.h"

#include <map>
#include <string_view>

namespace boragedoor::jobs {

group_tally::group_tally(std::span<const job_item> items) {
  std::map<std::string_view, std::size_t> index;
  group_of_.reserve(items.size());
  for (const job_item& it : items) {
    const std::size_t group = index.try_emplace(it.group, index.size()).first->second;
    group_of_.push_back(group);
    unfinished_.resize(index.size());
    ++unfinished_[group];
  }
  ungenerated_ = unfinished_;
  generated_.resize(items.size());
  required_.resize(index.size());
}

void group_tally::mark_generated(std::size_t item) {
  generated_[item] = true;
  --ungenerated_[group_of_[item]];
}

void group_tally::mark_finished(std::size_t item) {
  if (!generated_[item]) {
    mark_generated(item);
  }
  std::size_t& unfinished = unfinished_[group_of_[item]];
  if (unfinished > 0 && --unfinished == 0) {
    ++complete_;
  }
}

step_progress group_tally::progress(std::size_t desired) const {
  std::size_t generated = 0;
  bool lacks_text = false;
  bool lacks_score = false;
  for (std::size_t n = 0; n < unfinished_.size(); ++n) {
    generated += ungenerated_[n] == 0 ? 1 : 0;
    lacks_text = lacks_text || (required_[n] && ungenerated_[n] > 0);
    lacks_score = lacks_score || (required_[n] && unfinished_[n] > 0);
  }
  if (lacks_text || generated < desired) {
    return step_progress::generating;
  }
  return lacks_score || complete_ < desired ? step_progress::scoring : step_progress::complete;
}

} // namespace boragedoor::jobs
