#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/signal.h>

#include "base/result.h"
#include "instance/instance_context.h"
#include "instance/prefix_watch.h"
#include "jobs/job.h"

namespace boragedoor::instance {

/// A job's record with the store revision that a change of it must expect.
struct known_record {
  jobs::job_record record;
  std::uint64_t revision = 0;
};

/// What the store has of a job.
struct loaded_job {
  jobs::job contents;
  std::vector<jobs::item_result> listed;
  std::vector<jobs::item_progress> begun;
};

/// Results from a position on.
struct results_page {
  std::vector<jobs::item_result> results;
  std::size_t next = 0;
  /// Store revision of the page, from which a wait for more continues.
  std::uint64_t revision = 0;
};

enum class create_outcome {
  /// The job is in the store, run by this member.
  created,
  /// It was there already.
  exists,
  /// The store did nothing: the job is certainly not accepted.
  refused,
  /// No answer: it may have been accepted.
  unknown,
};

/// The documents of jobs in the durable store.
class job_store {
public:
  explicit job_store(instance_context& context);

  void start() { watch_.start(); }
  /// Adapts the pauses of the watch to the number of instances.
  void set_watch_pause(duration pause) { watch_.set_pause(pause); }
  [[nodiscard]] const std::map<std::string, known_record, std::less<>>& records() const {
    return records_;
  }
  [[nodiscard]] const known_record* find(std::string_view job) const;

  /// A record was written or removed.
  sigc::signal<void(const std::string& job)> changed;

  void create(const jobs::job& it, const jobs::job_record& record,
              std::function<void(create_outcome)> done);
  /// Reads a record from the store. An error other than `not_found` means that it is not known.
  void read_record(const std::string& job, std::function<void(result<known_record>)> done);
  void load(const std::string& job, std::function<void(result<loaded_job>)> done);
  void load_contents(const std::string& job, std::function<void(result<jobs::job>)> done);
  /// Reads results from position `after` on; one page of the store.
  void read_results(const std::string& job, std::size_t after,
                    std::function<void(result<results_page>)> done);
  /// Waits until results are added behind a revision, or for `wait`, and reads those from position
  /// `after` on.
  void await_results(const std::string& job, std::size_t after, std::uint64_t revision,
                     duration wait, std::function<void(result<results_page>)> done);
  /// Replaces a record if the store still has the revision.
  void replace_record(const known_record& old, jobs::job_record next,
                      std::function<void(result<known_record>)> done);
  /// Adds a chunk of results behind `first`, if the record still has the revision.
  void append_results(const known_record& owner, std::size_t first,
                      const std::vector<jobs::item_result>& list,
                      std::function<void(commit_answer)> done);

  /// Keeps texts in the making, if the record still has the revision.
  void save_progress(const known_record& owner, const std::vector<jobs::item_progress>& list,
                     std::function<void()> done);

private:
  void load_progress(const std::string& job, std::shared_ptr<loaded_job> into,
                     std::function<void(result<loaded_job>)> done);
  void load_results(const std::string& job, std::size_t after, std::shared_ptr<loaded_job> into,
                    std::function<void(result<loaded_job>)> done);
  void remember(known_record it);

  instance_context& context_;
  std::map<std::string, known_record, std::less<>> records_;
  prefix_watch watch_;
};

} // namespace boragedoor::instance
