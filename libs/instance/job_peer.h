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

/// Results of a job from a position on.
struct job_listing {
  std::size_t total = 0;
  std::size_t next = 0;
  std::vector<jobs::item_result> results;
};

enum class submit_outcome {
  accepted,
  /// Certainly not accepted; it may be submitted again.
  refused,
  /// Not known; the same job may be submitted again.
  unknown,
};

/// Calls about jobs between instances: reads go to the instance that runs the job, and submissions
/// to the one that is to run it.
class job_peer {
public:
  /// What an instance answers for. `read` has no listing where the job does not run here.
  struct service {
    std::function<void(const std::string& job, std::size_t after, duration wait,
                       std::function<void(std::optional<job_listing>)> done)>
        read;
    std::function<void(jobs::job it, std::function<void(submit_outcome)> done)> submit;
    /// Ends a job that runs here; false if it does not, or if that is not stored.
    std::function<void(const std::string& job, std::function<void(bool)> done)> end;
    /// Takes texts of a step that has ended, for the next one.
    std::function<void(std::string_view workspace, std::vector<jobs::item_progress> texts)> carry;
  };

  job_peer(net::event_loop& loop, member_task& members, service own);

  /// Reads results from a member. No listing: the member does not answer, or does not run the job.
  void read(std::string_view member, const std::string& job, std::size_t after, duration wait,
            std::function<void(std::optional<job_listing>)> done);
  /// Submits a job through a member. `unknown` if it does not answer.
  void submit(std::string_view member, const jobs::job& it,
              std::function<void(submit_outcome)> done);
  /// Ends a job through the member that runs it; false if it does not answer or does not run it.
  void end(std::string_view member, const std::string& job, std::function<void(bool)> done);
  /// Gives texts to a member. They only save time, so an answer is not waited for.
  void carry(std::string_view member, std::string_view workspace,
             std::span<const jobs::item_progress> texts);
  /// Answers a call of another instance. False: the call is not one of those.
  bool answer(const std::shared_ptr<http1::exchange>& from);

private:
  using on_end = std::function<void(http1::call_outcome outcome, const http1::response& it)>;

  /// Calls a member. One that is not known, or has no address for calls, counts as not connected.
  void call(std::string_view member, http1::request message, duration limit, on_end done);
  void answer_read(const std::shared_ptr<http1::exchange>& from);
  void answer_submission(const std::shared_ptr<http1::exchange>& from);
  void answer_end(const std::shared_ptr<http1::exchange>& from);
  void answer_texts(const std::shared_ptr<http1::exchange>& from);

  member_task& members_;
  http1::client calls_;
  service own_;
};

} // namespace boragedoor::instance
