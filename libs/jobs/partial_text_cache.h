#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"

namespace boragedoor::jobs {

struct partial_text_cache_options {
  /// Entries that no job has requested within this time are dropped. A trainer resubmits a group in
  /// one of its next steps, a few seconds later.
  duration retention = seconds(20);
  /// Bytes of text; the oldest entries are evicted first. The long texts of one step take about
  /// 200 KB.
  std::size_t max_bytes = 2UL * 1024 * 1024;
};

/// What an earlier step left of a job's items.
struct carried_items {
  /// Texts that the job can continue.
  std::vector<item_progress> texts;
  /// Items that the earlier step did not complete, also those whose text is not acceptable.
  std::vector<std::size_t> unfinished;
};

/// Caches the partial texts of jobs that have ended, so that a later job can continue them.
///
/// Design note: a trainer proceeds when nine of ten groups are complete. The remaining group has
/// the longest texts and is resubmitted with the same item ids in the next step, which must wait
/// for it. Regenerating a text that takes seven seconds makes that step late; continuing it takes
/// only the remaining time.
class partial_text_cache {
public:
  explicit partial_text_cache(const partial_text_cache_options& options = {}) : options_(options) {}

  void add(std::string_view workspace, std::span<const item_progress> texts, time_point now);
  /// Removes the entries for the items of a new job from the same workspace and returns them. The
  /// texts are those whose weight versions the job accepts.
  [[nodiscard]] carried_items take(const job& new_job, time_point now);
  [[nodiscard]] std::size_t size() const { return texts_.size(); }

private:
  struct entry {
    item_progress progress;
    time_point added{};
  };
  void expire(time_point now);

  partial_text_cache_options options_;
  /// Keyed by workspace and item id: item ids are unique only within a workspace.
  std::map<std::pair<std::string, std::string>, entry> texts_;
  std::size_t bytes_ = 0;
};

} // namespace boragedoor::jobs
