#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "instance/endpoint_verifier.h"
#include "instance/instance_context.h"
#include "instance/job_store.h"
#include "instance/text_verification.h"
#include "jobs/event_reader.h"
#include "jobs/job_run.h"
#include "jobs/listed_results.h"

namespace boragedoor::instance {

/// Runs the items of one job at endpoints, sends their reward calls and writes the results to the
/// store. Stops when the job has ended or another member runs it.
class job_runner {
public:
  job_runner(instance_context& context, job_store& store, endpoint_verifier& verifier,
             loaded_job loaded);
  ~job_runner();
  job_runner(const job_runner&) = delete;
  job_runner& operator=(const job_runner&) = delete;
  job_runner(job_runner&&) = delete;
  job_runner& operator=(job_runner&&) = delete;

  /// Starts items and reward calls, moves slow runs and writes due results. To be called
  /// periodically; cheap if there is nothing to do.
  void advance(time_point now);
  /// Starts the items and reward calls that may be sent now.
  void start_waiting(time_point now) {
    if (!stopped_) {
      start_ready(now);
    }
  }
  /// Cancels all runs and reward calls.
  void stop();
  /// Partial texts, for the member that continues the job.
  [[nodiscard]] std::vector<jobs::item_progress> progress() const;
  /// Texts of the groups that the trainer has not got, for the step in which it submits them again.
  [[nodiscard]] std::vector<jobs::item_progress> texts_for_next_step() const;

  [[nodiscard]] const jobs::job& contents() const { return run_.contents(); }
  /// Number of results in the store.
  [[nodiscard]] std::size_t listed_count() const { return listed_.end(); }
  /// Results from position `after` on; nullopt if they are no longer cached, only stored.
  [[nodiscard]] std::optional<std::vector<jobs::item_result>> results(std::size_t after) const;
  /// Whether the runner is stopped, or all results are stored and their retention time after the
  /// job's `give_up` time has passed. Until then, its results are read from this runner.
  [[nodiscard]] bool is_done() const { return stopped_ || is_complete(); }
  /// Whether all results are stored and their retention time has passed.
  [[nodiscard]] bool is_complete() const;
  [[nodiscard]] std::size_t running() const { return run_.running(); }
  /// Whether results that are not listed yet will be within `limit`, because the step is due.
  [[nodiscard]] bool listing_expected(duration limit) const;

private:
  /// What has arrived of a run that continues a text and whose process is not verified yet.
  struct unverified_run {
    std::string data;
    /// Outcome and response, if the run has ended.
    std::optional<std::pair<http1::call_outcome, http1::response>> end;
  };
  /// A run or a reward call in progress.
  struct active_call {
    std::size_t item = 0;
    std::string endpoint;
    routing::endpoint_process process{};
    /// See `endpoint_entry::software`.
    std::string software{};
    std::shared_ptr<http1::call> call;
    jobs::event_reader reader;
    bool accepted = false;
    bool rejected = false;
    jobs::run_outcome rejection = jobs::run_outcome::broken;
    time_point sent_at{};
    std::optional<unverified_run> unverified{};
    /// Whether the process of a run that is to be moved was asked for.
    bool move_prepared = false;
  };
  /// Results that are being written to the store. Their positions do not change until the outcome
  /// of the write is known.
  struct chunk {
    std::size_t first = 0;
    std::vector<jobs::item_result> results;
    bool in_flight = false;
    time_point not_before{};
  };

  /// Starts the items and reward calls that can start now. Called after each run, while `advance`
  /// looks at all items.
  void start_ready(time_point now);
  /// Number of waiting requests, as `count` returns it, for which permits are requested at once.
  [[nodiscard]] int waiting_requests(std::size_t (jobs::job_run::*count)() const) const;
  enum class start_result { started, postponed, no_endpoint };
  start_result start_item(std::size_t n, time_point now);
  /// The service of a route that is to run an item: that of its text, if it has one.
  [[nodiscard]] std::string service_for(const dispatch::route& route, std::size_t n);
  /// Continues texts whose process was verified, and discards those that may come from other
  /// software.
  void on_text_verified(const routing::endpoint_process& source, std::span<const std::size_t> items,
                        process_verdict verdict);
  /// Finds out whether the process of a run runs its software. `done` is not called once the run
  /// has ended.
  void verify_process(const std::shared_ptr<active_call>& it,
                      std::function<void(process_verdict)> done);
  void on_run_verified(const std::shared_ptr<active_call>& it, process_verdict verdict);
  void discard_text(std::size_t n, std::string_view reason);
  bool start_reward(std::size_t n, time_point now);
  bool on_head(const std::shared_ptr<active_call>& it, const http1::response& head);
  void on_data(active_call& it, std::string_view data);
  void on_end(const std::shared_ptr<active_call>& it, http1::call_outcome outcome,
              const http1::response& response);
  void on_reward_end(const std::shared_ptr<active_call>& it, http1::call_outcome outcome,
                     const http1::response& response);
  void report_interval(const active_call& it);
  void reject(active_call& it, jobs::run_outcome outcome);
  void finish_run(active_call& it, jobs::run_outcome outcome,
                  std::optional<routing::health_signal> signal, std::string_view reason);
  void move_slow_runs(time_point now);
  void move_to_faster_engines(time_point now);
  /// Verifies the process of a run in progress, so that its text can be continued as soon as the
  /// run is cancelled and the free slot that it is moved to is taken at once.
  void prepare_move(const std::shared_ptr<active_call>& it);
  /// An endpoint other than `current` that has a free slot and can continue the item.
  [[nodiscard]] std::optional<dispatch::chosen_endpoint>
  alternative_endpoint(std::size_t n, const std::string& current, time_point now);
  /// Time left until the results are due; negative afterwards.
  [[nodiscard]] duration time_to_due() const;
  void list_results(time_point now);
  void on_listed(const commit_answer& out);
  /// Whether a stored document holds the last results of the chunk that is being written.
  [[nodiscard]] bool ends_with_chunk(std::string_view stored) const;
  void save_progress(time_point now);
  void cancel_run(std::size_t n, jobs::run_outcome outcome, std::string_view reason);

  instance_context& context_;
  job_store& store_;
  endpoint_verifier& verifier_;
  jobs::job_run run_;
  /// Bytes of the job's contents. They are not given up for others.
  http1::byte_account memory_;
  std::map<std::size_t, std::shared_ptr<active_call>> runs_;
  std::map<std::size_t, std::shared_ptr<active_call>> rewards_;
  text_verification texts_;
  std::unique_ptr<chunk> chunk_;
  jobs::listed_results listed_;
  time_point next_save_{};
  bool saving_ = false;
  /// Whether `start_ready` continues in the next iteration of the event loop.
  bool start_scheduled_ = false;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
