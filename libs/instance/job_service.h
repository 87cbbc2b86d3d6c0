#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "duties/weight_schedule.h"
#include "instance/endpoint_verifier.h"
#include "instance/instance_context.h"
#include "instance/job_peer.h"
#include "instance/job_runner.h"
#include "instance/job_store.h"
#include "instance/member_task.h"
#include "jobs/job_memory.h"
#include "jobs/job_ownership.h"
#include "jobs/partial_text_cache.h"

namespace boragedoor::instance {

/// Accepts batch jobs, runs them and serves their results. Every instance serves requests for every
/// job; one member runs it.
class job_service {
public:
  job_service(instance_context& context, member_task& members, endpoint_verifier& verifier);
  ~job_service() { *alive_ = false; }
  job_service(const job_service&) = delete;
  job_service& operator=(const job_service&) = delete;
  job_service(job_service&&) = delete;
  job_service& operator=(job_service&&) = delete;

  void start();
  void set_watch_pause(duration pause) { store_.set_watch_pause(pause); }
  /// Stops taking over jobs of other members. Running jobs continue.
  void drain() { draining_ = true; }
  /// Stops the running jobs and hands them over to other members.
  void hand_over();

  /// Whether a job is known to be stored, so that a further submission of it is accepted.
  [[nodiscard]] bool is_stored(std::string_view job) const { return store_.find(job) != nullptr; }
  /// Whether a submitted job of this text, which is held already, may be parsed now.
  [[nodiscard]] jobs::submission_verdict judge_submission(std::string_view text) const;
  /// See `jobs::parsed_job_limit`.
  [[nodiscard]] std::size_t parsed_job_limit() const;
  /// Stores a job and starts to run it. Idempotent: a job that is already stored is reported as
  /// accepted.
  void submit(jobs::job job, std::function<void(submit_outcome)> done);
  /// Reads results from position `after` on; if there are none, waits up to `wait` for the next
  /// ones. Fails with `not_found` if the workspace has no such job, and with another code if that
  /// cannot be determined.
  void read(const std::string& job, std::string_view workspace, std::size_t after, duration wait,
            std::function<void(result<job_listing>)> done);
  /// Reads the request body of an item.
  void read_body(const std::string& job, std::string_view workspace, std::string item,
                 std::function<void(result<std::string>)> done);
  /// Ends a job. Succeeds also if the job has already ended.
  void end(const std::string& job, std::string_view workspace,
           std::function<void(result<void>)> done);

  /// Handles a request of another instance. Returns false if it is not a request about jobs.
  bool answer(const std::shared_ptr<http1::exchange>& from) { return peer_.answer(from); }

  /// Starts items and reward calls that may be sent now, those of the jobs that are due first
  /// before the others.
  void start_waiting();

  /// Number of items in the jobs of all instances that have not ended and were submitted recently
  /// enough to count as demand.
  [[nodiscard]] int open_items() const;
  /// The recent steps of each model, of all instances.
  [[nodiscard]] std::map<std::string, duties::step_demand, std::less<>> steps() const;
  [[nodiscard]] std::size_t running_jobs() const { return runners_.size(); }

private:
  struct submission;
  [[nodiscard]] jobs::memory_state memory() const;
  /// Counts the bytes of a job until its submission has ended.
  [[nodiscard]] std::shared_ptr<http1::byte_account> hold_memory(const jobs::job& job) const;
  /// A pending read that waits for more results of a job that this instance runs.
  struct waiting_read {
    std::string job;
    std::size_t after = 0;
    time_point until{};
    std::function<void(std::optional<job_listing>)> done;
  };

  /// The member that runs a job that is stored from here: this one, unless it has handed its jobs
  /// over.
  [[nodiscard]] std::string runner_for_new(const std::string& job) const;
  /// Submits a job with this member as its runner. `may_exist` is true if an earlier attempt may
  /// have stored the job.
  void submit_here(jobs::job job, bool may_exist, std::function<void(submit_outcome)> done);
  void try_submit(const std::shared_ptr<submission>& it);
  /// Passes the job's record to `done` after checking that it belongs to the workspace.
  void with_record(const std::string& job, std::string_view workspace,
                   std::function<void(result<stored_record>)> done);
  void read_stored(const std::string& job, std::size_t after, std::size_t total, duration wait,
                   std::function<void(result<job_listing>)> done);
  /// Reads results of a job that this instance runs. Passes nullopt to `done` if it does not run
  /// here or its results are no longer cached.
  void read_here(const std::string& job, std::size_t after, duration wait,
                 std::function<void(std::optional<job_listing>)> done);
  void complete_waiting_reads(time_point now);
  /// Ends a job that this instance runs; passes false to `done` if it does not run here or its end
  /// could not be stored.
  void end_here(const std::string& job, std::function<void(bool)> done);
  /// Caches the partial texts of a job that has ended here, and sends them to the member that runs
  /// the trainer's next step, so that the step can continue them.
  void keep_texts_for_next_step(const job_runner& ended_runner);
  /// The member that the step of a trainer is assigned to.
  [[nodiscard]] const duties::member* runner_of(std::string_view route, std::uint64_t step) const;
  /// Marks the job as ended in its record, and retries if the record was changed concurrently.
  void end_record(const stored_record& known, int attempts_left,
                  const std::function<void(result<void>)>& done);
  void start_runner(loaded_job loaded);
  void load_and_run(const std::string& job);
  /// Stops the job's runner if the job has ended or another member runs it.
  void on_record_changed(const std::string& job);
  /// The runners of the jobs that are due first come first.
  [[nodiscard]] std::vector<job_runner*> runners_by_due() const;
  void advance_runners();
  /// Loads this member's jobs that have no runner, and takes over those of members that are gone.
  void take_over_jobs();
  /// Writes this member into the record of a job as its runner, then runs the job.
  void claim(const stored_record& known);

  instance_context& context_;
  member_task& members_;
  endpoint_verifier& verifier_;
  job_store store_;
  job_peer peer_;
  std::map<std::string, std::unique_ptr<job_runner>, std::less<>> runners_;
  jobs::job_ownership ownership_;
  std::vector<waiting_read> waiting_reads_;
  jobs::partial_text_cache partial_texts_;
  net::timer advance_timer_;
  net::timer takeover_timer_;
  bool draining_ = false;
  bool stopped_ = false;
  /// False after destruction. Timers and calls to other members check it and then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
