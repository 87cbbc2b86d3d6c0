#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "jobs/job.h"

namespace boragedoor::jobs {

/// The results of a job that the store holds, as far as its runner still has their texts. Readers
/// get them from here, so that a read costs no call to the store.
class listed_results {
public:
  /// Positions before `first` are only in the store; of the others about `most_bytes` of text are
  /// kept, the newest.
  listed_results(std::size_t first, std::size_t most_bytes)
      : first_(first), most_bytes_(most_bytes) {}

  void append(std::vector<item_result> results);
  /// The position behind the last result.
  [[nodiscard]] std::size_t end() const { return first_ + kept_.size(); }
  /// Results from position `after` on, at most about `max_bytes` of text but at least one if there
  /// is one; nothing if the first of them is no longer kept.
  [[nodiscard]] std::optional<std::vector<item_result>> read(std::size_t after,
                                                             std::size_t max_bytes) const;

private:
  std::size_t first_;
  std::size_t most_bytes_;
  std::size_t bytes_ = 0;
  std::deque<item_result> kept_;
};

} // namespace boragedoor::jobs
