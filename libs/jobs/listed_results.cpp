#include "jobs/listed_results.h"

#include <utility>

namespace boragedoor::jobs {

void listed_results::append(std::vector<item_result> results) {
  for (item_result& it : results) {
    bytes_ += it.text.size();
    kept_.push_back(std::move(it));
  }
  while (bytes_ > most_bytes_ && !kept_.empty()) {
    bytes_ -= kept_.front().text.size();
    kept_.pop_front();
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
  for (std::size_t n = after - first_; n < kept_.size(); ++n) {
    bytes += kept_[n].text.size();
    if (!list.empty() && bytes > max_bytes) {
      break;
    }
    list.push_back(kept_[n]);
  }
  return list;
}

} // namespace boragedoor::jobs
