#include "jobs/partial_text_cache.h"

#include <algorithm>
#include <utility>

namespace boragedoor::jobs {

namespace {

bool has_acceptable_versions(const item_progress& text, const job& it) {
  if (text.versions.empty() || (it.single_version && text.versions.size() > 1)) {
    return false;
  }
  return std::all_of(text.versions.begin(), text.versions.end(),
                     [&](std::uint64_t version) { return version >= it.minimum_version; });
}

} // namespace

void partial_text_cache::add(std::string_view workspace, std::span<const item_progress> texts,
                             time_point now) {
  for (const item_progress& it : texts) {
    entry& kept = texts_[{std::string(workspace), it.id}];
    bytes_ -= kept.progress.text.size();
    kept = {it, now};
    bytes_ += it.text.size();
  }
  expire(now);
}

void partial_text_cache::expire(time_point now) {
  const auto erase_entry = [this](auto it) {
    bytes_ -= it->second.progress.text.size();
    return texts_.erase(it);
  };
  for (auto it = texts_.begin(); it != texts_.end();) {
    it = now - it->second.added >= options_.retention ? erase_entry(it) : std::next(it);
  }
  while (bytes_ > options_.max_bytes) {
    erase_entry(
        std::min_element(texts_.begin(), texts_.end(), [](const auto& left, const auto& right) {
          return left.second.added < right.second.added;
        }));
  }
}

carried_items partial_text_cache::take(const job& new_job, time_point now) {
  expire(now);
  carried_items carried;
  for (std::size_t n = 0; n < new_job.items.size(); ++n) {
    const auto found = texts_.find({new_job.workspace, new_job.items[n].id});
    if (found == texts_.end()) {
      continue;
    }
    carried.unfinished.push_back(n);
    bytes_ -= found->second.progress.text.size();
    if (has_acceptable_versions(found->second.progress, new_job)) {
      carried.texts.push_back(std::move(found->second.progress));
    }
    texts_.erase(found);
  }
  return carried;
}

} // namespace boragedoor::jobs
