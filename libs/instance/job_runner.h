#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "instance/instance_context.h"
#include "instance/job_store.h"
#include "jobs/event_reader.h"
#include "jobs/job_run.h"
#include "jobs/listed_results.h"

namespace boragedoor::instance {

/// Runs the items of one job at endpoints, has them scored and lists their results in the store.
/// It stops by itself when the job has ended or another member runs it.
class job_runner {
public:
  job_runner(instance_context& context, job_store& store, loaded_job loaded);
  ~job_runner();
  job_runner(const job_runner&) = delete;
  job_runner& operator=(const job_runner&) = delete;
  job_runner(job_runner&&) = delete;
  job_runner& operator=(job_runner&&) = delete;

  /// Starts what can start and lists what is due. Call often; it is cheap when there is nothing.
  void pump(time_point now);
  /// Cancels all runs.
  void stop();
  /// Texts in the making, for the member that goes on with the job.
  [[nodiscard]] std::vector<jobs::item_progress> progress() const;

  [[nodiscard]] const jobs::job& contents() const { return run_.contents(); }
  /// Results that are in the store.
  [[nodiscard]] std::size_t listed() const { return listed_.end(); }
  /// Results from position `after` on; nothing if only the store has them.
  [[nodiscard]] std::optional<std::vector<jobs::item_result>> results(std::size_t after) const;
  /// Stopped, or nothing is left to run or to list and the time of the job is over. Until then its
  /// results are read from here.
  [[nodiscard]] bool is_done() const;
  [[nodiscard]] std::size_t running() const { return run_.running(); }

private:
  struct open_call {
    std::size_t item = 0;
    std::string endpoint;
    std::shared_ptr<http1::call> call;
    jobs::event_reader reader;
    bool accepted = false;
    bool rejected = false;
    jobs::run_outcome rejection = jobs::run_outcome::broken;
    time_point sent{};
  };
  /// Results on their way into the store. They keep their positions until the outcome is known.
  struct chunk {
    std::size_t first = 0;
    std::vector<jobs::item_result> results;
    bool sent = false;
    time_point not_before{};
  };

  bool start_item(std::size_t n, time_point now);
  bool start_reward(std::size_t n, time_point now);
  bool on_head(open_call& it, const http1::response& head);
  void on_data(open_call& it, std::string_view data);
  void on_end(const std::shared_ptr<open_call>& it, http1::call_outcome outcome,
              const http1::response& response);
  void on_reward_end(const std::shared_ptr<open_call>& it, http1::call_outcome outcome,
                     const http1::response& response);
  void note_interval(const open_call& it);
  void reject(open_call& it, jobs::run_outcome how);
  void finish_run(open_call& it, jobs::run_outcome how, std::optional<routing::health_signal> seen,
                  std::string_view reason);
  void move_slow_runs(time_point now);
  void move_to_faster_engines(time_point now);
  /// Another endpoint with a free place that could go on with the item.
  [[nodiscard]] std::optional<dispatch::chosen_endpoint>
  other_endpoint(std::size_t n, const std::string& present, time_point now);
  void list_results(time_point now);
  void on_listed(const commit_answer& out);
  void keep_progress(time_point now);
  void cancel_run(std::size_t n, jobs::run_outcome how, std::string_view reason);

  instance_context& context_;
  job_store& store_;
  jobs::job_run run_;
  std::map<std::size_t, std::shared_ptr<open_call>> runs_;
  std::map<std::size_t, std::shared_ptr<open_call>> rewards_;
  std::unique_ptr<chunk> chunk_;
  jobs::listed_results listed_;
  time_point next_listing_{};
  time_point next_keep_{};
  bool keeping_ = false;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
