#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "http1/client.h"
#include "http1/exchange.h"
#include "instance/member_task.h"
#include "jobs/job.h"

namespace boragedoor::instance {

/// Results of a job from a position on. `total` is the job's number of items, and `next` the
/// position after the last result.
struct job_listing {
  std::size_t total = 0;
  std::size_t next = 0;
  std::vector<jobs::item_result> results;
};

enum class submit_outcome {
  accepted,
  /// Certainly not accepted. The job may be submitted again.
  refused,
  /// It is unknown whether the job was accepted. The same job may be submitted again.
  unknown,
};

/// Sends and serves the requests about jobs between instances. Reads go to the member that runs the
/// job, submissions to the member that the job is assigned to.
class job_peer {
public:
  /// Handlers for the requests of other instances. `read` passes nullopt to `done` if the job does
  /// not run here.
  struct handlers {
    std::function<void(const std::string& job, std::size_t after, duration wait,
                       std::function<void(std::optional<job_listing>)> done)>
        read;
    /// Most bytes that the items of another instance's job document may take; nothing if it may not
    /// be parsed now.
    std::function<std::optional<std::size_t>(std::string_view document)> room_for;
    std::function<void(jobs::job job, std::function<void(submit_outcome)> done)> submit;
    /// Ends a job that runs here. Passes false to `done` if it does not run here, or if its end
    /// could not be stored.
    std::function<void(const std::string& job, std::function<void(bool)> done)> end;
    /// Receives the partial texts of a step that has ended, which the next step can continue.
    std::function<void(std::string_view workspace, std::vector<jobs::item_progress> texts)>
        receive_texts;
  };

  job_peer(instance_context& context, member_task& members, handlers own_handlers);

  /// Reads results from a member. Passes nullopt to `done` if the member does not respond or does
  /// not run the job.
  void read(std::string_view member, const std::string& job, std::size_t after, duration wait,
            std::function<void(std::optional<job_listing>)> done);
  /// Submits a job to a member. The outcome is `refused` if the member cannot be connected to, and
  /// `unknown` if it does not respond.
  void submit(std::string_view member, const jobs::job& job,
              std::function<void(submit_outcome)> done);
  /// Ends a job through the member that runs it. Passes false to `done` if the member does not
  /// respond, does not run the job or could not store its end.
  void end(std::string_view member, const std::string& job, std::function<void(bool)> done);
  /// Sends partial texts to a member. They only save time, so the response is ignored.
  void send_texts(std::string_view member, std::string_view workspace,
                  std::span<const jobs::item_progress> texts);
  /// Handles a request of another instance. Returns false if it is not a request about jobs.
  bool answer(const std::shared_ptr<http1::exchange>& from);

private:
  using response_callback =
      std::function<void(http1::call_outcome outcome, const http1::response& response)>;

  /// Sends a request to a member. If the member is unknown or has no relay address, the outcome is
  /// `not_connected`.
  void send(std::string_view member, http1::request message, duration timeout,
            response_callback done);
  void answer_read(const std::shared_ptr<http1::exchange>& from);
  void answer_submission(const std::shared_ptr<http1::exchange>& from);
  void answer_end(const std::shared_ptr<http1::exchange>& from);
  void answer_texts(const std::shared_ptr<http1::exchange>& from);

  member_task& members_;
  http1::client calls_;
  handlers handlers_;
};

} // namespace boragedoor::instance
