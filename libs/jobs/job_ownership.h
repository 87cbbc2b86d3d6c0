#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace boragedoor::jobs {

/// A job as its record in the store and the list of members say.
struct ownership_view {
  std::string_view job;
  /// Revision of the record. It changes whenever the job passes to another member.
  std::uint64_t revision = 0;
  /// Whether this member runs the job by its record.
  bool is_runner = false;
  /// Whether this member takes the job over if its runner is gone.
  bool is_successor = false;
  bool runner_is_gone = false;
  /// Whether the runner is an earlier process of this instance, which has certainly ended.
  bool runner_is_earlier_process = false;
};

/// What a member does about a job that it does not run.
enum class ownership_step {
  none,
  /// Loads the job and runs it.
  load,
  /// Writes itself into the record as the runner, then loads the job.
  claim
};

/// Decides which jobs a member loads or takes over.
///
/// Design note: the record alone says who runs a job. A job may leave a member and come back, so
/// what the member knows of it counts only for the revision of the record at which it learned it.
class job_ownership {
public:
  /// The next step for a job that has not ended and does not run here. A step that has not
  /// succeeded is repeated after a while.
  [[nodiscard]] ownership_step next_step(const ownership_view& view, time_point now) const;

  /// Records that a step was begun, and that it succeeded.
  void note_begun(const std::string& job, time_point now) { begun_[job] = now; }
  void note_succeeded(const std::string& job) { begun_.erase(job); }
  /// Records that all results of a job are stored under this revision of its record, and that it
  /// need not run here until that changes.
  void note_finished(const std::string& job, std::uint64_t revision) { finished_[job] = revision; }
  [[nodiscard]] bool is_finished(std::string_view job, std::uint64_t revision) const;
  /// Forgets a job that has ended.
  void forget(const std::string& job);

private:
  /// When the last step for a job was begun that has not succeeded yet.
  std::map<std::string, time_point, std::less<>> begun_;
  std::map<std::string, std::uint64_t, std::less<>> finished_;
};

} // namespace boragedoor::jobs
