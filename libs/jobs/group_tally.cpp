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
}

void group_tally::mark_finished(std::size_t item) {
  std::size_t& unfinished = unfinished_[group_of_[item]];
  if (unfinished > 0 && --unfinished == 0) {
    ++complete_;
  }
}

} // namespace boragedoor::jobs
