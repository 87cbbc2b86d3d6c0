#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "instance/instance_context.h"
#include "instance/job_peer.h"
#include "instance/job_runner.h"
#include "instance/job_store.h"
#include "instance/member_task.h"
#include "jobs/partial_text_cache.h"

namespace boragedoor::instance {

/// Takes, runs and answers for batch jobs. Any instance answers for any job; one runs it.
class job_service {
public:
  job_service(instance_context& context, member_task& members);
  ~job_service() { *alive_ = false; }
  job_service(const job_service&) = delete;
  job_service& operator=(const job_service&) = delete;
  job_service(job_service&&) = delete;
  job_service& operator=(job_service&&) = delete;

  void start();
  void set_watch_pause(duration pause) { store_.set_watch_pause(pause); }
  /// Takes no more jobs over; those that run go on.
  void drain() { draining_ = true; }
  /// Stops running jobs and hands them to other members.
  void hand_over();

  /// Keeps a job and starts to run it. Called again with the same job it answers the same.
  void submit(jobs::job it, std::function<void(submit_outcome)> done);
  /// Reads results from position `after` on; without any it waits for some, up to `wait`. Fails
  /// with `not_found` where the workspace has no such job, and with another code if that is not
  /// known.
  void read(const std::string& job, std::string_view workspace, std::size_t after, duration wait,
            std::function<void(result<job_listing>)> done);
  /// Reads the body of an item.
  void read_body(const std::string& job, std::string_view workspace, std::string item,
                 std::function<void(result<std::string>)> done);
  /// Ends a job; again if it has ended.
  void end(const std::string& job, std::string_view workspace,
           std::function<void(result<void>)> done);

  /// Answers a call of another instance. False: the call is not one about jobs.
  bool answer(const std::shared_ptr<http1::exchange>& from) { return peer_.answer(from); }

  /// Items of all jobs, on any instance, that have not ended and are not long overdue.
  [[nodiscard]] int open_items() const;
  [[nodiscard]] std::size_t running_jobs() const { return runners_.size(); }

private:
  struct submission;
  /// A read that waits for results of a job that runs here.
  struct waiting_read {
    std::string job;
    std::size_t after = 0;
    time_point until{};
    std::function<void(std::optional<job_listing>)> done;
  };

  void submit_here(jobs::job it, bool may_exist, std::function<void(submit_outcome)> done);
  void try_submit(const std::shared_ptr<submission>& it);
  void with_record(const std::string& job, std::string_view workspace,
                   std::function<void(result<known_record>)> done);
  void read_stored(const std::string& job, std::size_t after, std::size_t total, duration wait,
                   std::function<void(result<job_listing>)> done);
  /// Reads from a job that runs here; no listing if it does not, or only the store has the results.
  void read_here(const std::string& job, std::size_t after, duration wait,
                 std::function<void(std::optional<job_listing>)> done);
  void answer_waiting(time_point now);
  /// Ends a job that runs here.
  void end_here(const std::string& job, std::function<void(bool)> done);
  /// Keeps the texts of a job that has ended here for the next steps of its trainer.
  void carry_texts(const job_runner& from);
  /// The member that is to run a step of a trainer.
  [[nodiscard]] const duties::member* runner_of(std::string_view route, std::uint64_t step) const;
  void end_known(const known_record& known, int attempts_left,
                 const std::function<void(result<void>)>& done);
  void run(loaded_job loaded);
  void load_and_run(const std::string& job);
  void on_record(const std::string& job);
  void pump();
  void take_over();

  instance_context& context_;
  member_task& members_;
  job_store store_;
  job_peer peer_;
  std::map<std::string, std::unique_ptr<job_runner>, std::less<>> runners_;
  /// Jobs that are being loaded or taken over.
  std::map<std::string, time_point, std::less<>> loading_;
  /// Jobs with nothing left to run or list, until their trainer ends them.
  std::set<std::string, std::less<>> finished_;
  std::vector<waiting_read> waiting_;
  jobs::partial_text_cache carried_;
  net::timer pump_timer_;
  net::timer takeover_timer_;
  bool draining_ = false;
  bool stopped_ = false;
  /// Delayed calls that come after the destruction do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
