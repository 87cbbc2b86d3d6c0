#include "jobs/job_memory.h"

#include <algorithm>

namespace boragedoor::jobs {

namespace {

/// Texts up to this size are judged by the room for jobs alone.
constexpr std::size_t small_text_bytes = 64UL * 1024;
/// Bytes of a parsed member of an object beyond its text: a node of a map, a key and a value.
constexpr std::size_t parsed_member_bytes = 150;
/// Part of the limit that jobs may take, so that bodies and responses find room as well.
constexpr std::size_t job_share_divisor = 2;

/// Bodies are three quarters of their base64 text.
std::size_t expected_contents(std::size_t text_bytes) {
  return text_bytes - text_bytes / 4;
}

} // namespace

std::size_t contents_bytes(const job& it) {
  std::size_t bytes = sizeof(job);
  for (const job_item& item : it.items) {
    bytes += sizeof(job_item) + item.id.size() + item.path.size() + item.body.size() +
             item.model.size() + item.group.size();
    for (const auto& [name, value] : item.headers) {
      bytes += sizeof(item.headers.front()) + name.size() + value.size();
    }
    if (item.reward) {
      bytes += item.reward->id.size() + item.reward->host.size() + item.reward->path.size() +
               item.reward->body.size();
    }
  }
  return bytes;
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
  const auto members = static_cast<std::size_t>(std::count(text.begin(), text.end(), ':'));
  if (text.size() + contents + members * parsed_member_bytes > memory.limit) {
    return submission_verdict::too_complex;
  }
  const std::size_t others = memory.used - std::min(memory.used, text.size());
  return others + submission_bytes(contents) > memory.limit ? submission_verdict::no_room
                                                            : submission_verdict::accepted;
}

} // namespace boragedoor::jobs
