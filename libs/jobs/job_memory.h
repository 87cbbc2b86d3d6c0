#pragma once

#include <cstddef>
#include <string_view>

#include "jobs/job.h"

namespace boragedoor::jobs {

/// Bytes that an item takes while its job is run, and those of all items of a job.
std::size_t item_bytes(const job_item& it);
std::size_t contents_bytes(const job& it);

/// Bytes that the process holds and may hold, at the moment of a submission.
struct memory_state {
  std::size_t limit = 0;
  /// All bytes that are held, and the part of them that is of jobs.
  std::size_t used = 0;
  std::size_t used_by_jobs = 0;
};

enum class submission_verdict {
  accepted,
  /// Its items take more than the process may hold.
  too_complex,
  /// The jobs in progress leave no room.
  no_room,
};

std::string_view to_string(submission_verdict it);

/// Decides whether a submitted text may be parsed. `memory.used` includes the text.
///
/// Design load: many callers that submit whole jobs near the limit of a body at once. Only one text
/// is parsed at a time, because that takes one step of the event loop; what it leaves behind waits
/// for the store and is run for minutes.
submission_verdict judge_submission(std::string_view text, const memory_state& memory);

/// Most bytes that the items of a submitted job may take while its text is held as well, for which
/// `memory.used` stands. Many small items take many times their text.
std::size_t parsed_job_limit(const memory_state& memory);

/// Bytes that a job takes while the store has not confirmed it: its contents, the document and the
/// text in which it is sent.
std::size_t submission_bytes(std::size_t contents);

} // namespace boragedoor::jobs
