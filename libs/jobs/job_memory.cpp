#include "jobs/job_memory.h"

#include <algorithm>
#include <numeric>

namespace boragedoor::jobs {

namespace {

/// Texts up to this size are judged by the room for jobs alone.
constexpr std::size_t small_text_bytes = 64UL * 1024;
/// Bytes that an item takes while it is run, beside its contents: its state, its place in the order
/// and its group.
constexpr std::size_t run_state_bytes = 640;
/// What the items of such a text may take in any case.
constexpr std::size_t small_job_bytes = 2UL * 1024 * 1024;
/// Part of the limit that jobs may take, so that bodies and responses find room as well.
constexpr std::size_t job_share_divisor = 2;

/// Bodies are three quarters of their base64 text.
std::size_t expected_contents(std::size_t text_bytes) {
  return text_bytes - text_bytes / 4;
}

} // namespace

std::size_t item_bytes(const job_item& it) {
  std::size_t bytes = sizeof(job_item) + run_state_bytes + it.id.size() + it.path.size() +
                      it.body.size() + it.model.size() + it.group.size();
  for (const auto& [name, value] : it.headers) {
    bytes += sizeof(it.headers.front()) + name.size() + value.size();
  }
  if (it.reward) {
    bytes += it.reward->id.size() + it.reward->host.size() + it.reward->path.size() +
             it.reward->body.size();
  }
  return bytes;
}

std::size_t contents_bytes(const job& it) {
  return std::accumulate(
      it.items.begin(), it.items.end(), sizeof(job),
      [](std::size_t sum, const job_item& item) { return sum + item_bytes(item); });
}

std::string_view to_string(submission_verdict it) {
  switch (it) {
  case submission_verdict::accepted:
    return "accepted";
  case submission_verdict::too_complex:
    return "too_complex";
  case submission_verdict::no_room:
    return "no_room";
  }
  return "unknown";
}

std::size_t submission_bytes(std::size_t contents) {
  return contents + contents / 2 * 3;
}

submission_verdict judge_submission(std::string_view text, const memory_state& memory) {
  const std::size_t contents = expected_contents(text.size());
  if (memory.used_by_jobs + contents > memory.limit / job_share_divisor) {
    return submission_verdict::no_room;
  }
  if (text.size() <= small_text_bytes) {
    return submission_verdict::accepted;
  }
  const std::size_t others = memory.used - std::min(memory.used, text.size());
  return others + submission_bytes(contents) > memory.limit ? submission_verdict::no_room
                                                            : submission_verdict::accepted;
}

std::size_t parsed_job_limit(const memory_state& memory) {
  const std::size_t free = memory.limit - std::min(memory.limit, memory.used);
  return std::max(free, small_job_bytes);
}

} // namespace boragedoor::jobs
