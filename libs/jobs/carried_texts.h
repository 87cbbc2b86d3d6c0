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

struct carried_texts_options {
  /// Texts that no step asked for by then are dropped. A group that comes again comes in one of the
  /// next steps, a few seconds later.
  duration keep = seconds(20);
  /// Bytes of text; the oldest are dropped first. The long texts of a step have about 200 KB.
  std::size_t most_bytes = 2UL * 1024 * 1024;
};

/// Texts in the making of steps that have ended.
///
/// Pattern: a trainer goes on when nine of ten groups are complete. The group that is left over has
/// the longest texts and comes again, under the same ids, in the next step, which must wait for it.
/// Made anew, a text of seven seconds makes that step late; continued, it needs only the rest.
class carried_texts {
public:
  explicit carried_texts(const carried_texts_options& options = {}) : options_(options) {}

  void add(std::string_view workspace, std::span<const item_progress> texts, time_point now);
  /// The texts for the items of a new job of the same workspace, as far as the versions of their
  /// weights fit it.
  [[nodiscard]] std::vector<item_progress> take(const job& it, time_point now);
  [[nodiscard]] std::size_t size() const { return texts_.size(); }

private:
  struct entry {
    item_progress text;
    time_point added{};
  };
  void expire(time_point now);

  carried_texts_options options_;
  /// By workspace and item: the ids of one workspace say nothing about another's.
  std::map<std::pair<std::string, std::string>, entry> texts_;
  std::size_t bytes_ = 0;
};

} // namespace boragedoor::jobs
