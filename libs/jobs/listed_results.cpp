#include "jobs/listed_results.h"

#include <algorithm>
#include <utility>

namespace boragedoor::jobs {

void listed_results::append(std::vector<item_result> results) {
  for (item_result& it : results) {
    bytes_ += it.text.size();
    results_.push_back(std::move(it));
  }
  while (bytes_ > max_kept_bytes_ && !results_.empty()) {
    bytes_ -= results_.front().text.size();
    results_.pop_front();
    ++first_;
  }
}

std::optional<std::vector<item_result>> listed_results::read(std::size_t after,
                                                             std::size_t max_bytes) const {
  if (after < first_) {
    return std::nullopt;
  }
  std::vector<item_result> list;
  std::size_t bytes = 0;
  for (std::size_t n = after - first_; n < results_.size(); ++n) {
    bytes += results_[n].text.size();
    if (!list.empty() && bytes > max_bytes) {
      break;
    }
    list.push_back(results_[n]);
  }
  return list;
}

const item_result* listed_results::find(std::string_view item) const {
  const auto it = std::find_if(results_.begin(), results_.end(),
                               [item](const item_result& one) { return one.id == item; });
  return it == results_.end() ? nullptr : &*it;
}

} // namespace boragedoor::jobs
