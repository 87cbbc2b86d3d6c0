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

/// A job's record and its store revision, which an update of the record must expect.
struct stored_record {
  jobs::job_record record;
  std::uint64_t revision = 0;
};

/// The stored state of a job: its contents, its results, and the saved partial texts.
struct loaded_job {
  jobs::job contents;
  std::vector<jobs::item_result> listed;
  std::vector<jobs::item_progress> progress;
  /// Items that an earlier step of the trainer left unfinished.
  std::vector<std::size_t> carried{};
};

/// Results from a position on.
struct results_page {
  std::vector<jobs::item_result> results;
  std::size_t next = 0;
  /// Store revision of the page, after which `await_results` waits for more.
  std::uint64_t revision = 0;
};

enum class create_outcome {
  /// The job is stored with this member as its runner.
  created,
  /// The job was already stored.
  exists,
  /// The store did not execute the request: the job is certainly not stored.
  refused,
  /// There was no response: the job may have been stored.
  unknown,
};

/// Reads and writes the documents of jobs in the durable store, and watches the job records.
class job_store {
public:
  explicit job_store(instance_context& context);

  void start() { watch_.start(); }
  /// Sets the pause between watch requests, which depends on the number of instances.
  void set_watch_pause(duration pause) { watch_.set_pause(pause); }
  [[nodiscard]] const std::map<std::string, stored_record, std::less<>>& records() const {
    return records_;
  }
  [[nodiscard]] const stored_record* find(std::string_view job) const;

  /// Emitted when a record was written or removed.
  sigc::signal<void(const std::string& job)> changed;

  /// Stores a new job with its record.
  void create(const jobs::job& job, const jobs::job_record& record,
              std::function<void(create_outcome)> done);
  /// Reads a record from the store. An error other than `not_found` means that it is unknown
  /// whether the record exists.
  void read_record(const std::string& job, std::function<void(result<stored_record>)> done);
  /// Reads everything that a runner needs to continue the job. The listed results have no texts.
  void load(const std::string& job, std::function<void(result<loaded_job>)> done);
  void load_contents(const std::string& job, std::function<void(result<jobs::job>)> done);
  /// Reads one page of results from position `after` on.
  void read_results(const std::string& job, std::size_t after,
                    std::function<void(result<results_page>)> done);
  /// Waits up to `wait` for results that are added after `revision`, and reads those from position
  /// `after` on.
  void await_results(const std::string& job, std::size_t after, std::uint64_t revision,
                     duration wait, std::function<void(result<results_page>)> done);
  /// Replaces a record if its revision in the store is unchanged.
  void replace_record(const stored_record& old, jobs::job_record next,
                      std::function<void(result<stored_record>)> done);
  /// Adds a chunk of results from position `first` on, all or none, if the record's revision is
  /// unchanged. The conflict of a chunk that is already stored names the key of its last position.
  void append_results(const stored_record& owner, std::size_t first,
                      const std::vector<jobs::item_result>& results,
                      std::function<void(commit_answer)> done);

  /// Saves partial texts if the record's revision is unchanged. `done` is called also on failure.
  void save_progress(const stored_record& owner, const std::vector<jobs::item_progress>& texts,
                     std::function<void()> done);

private:
  void load_progress(const std::string& job, std::shared_ptr<loaded_job> into,
                     std::function<void(result<loaded_job>)> done);
  void load_results(const std::string& job, std::size_t after, std::shared_ptr<loaded_job> into,
                    std::function<void(result<loaded_job>)> done);
  /// Updates `records_` and emits `changed` if the record is newer than the one there.
  void update_cache(stored_record it);

  instance_context& context_;
  std::map<std::string, stored_record, std::less<>> records_;
  prefix_watch watch_;
};

} // namespace boragedoor::instance
