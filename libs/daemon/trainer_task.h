#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/announcement_task.h"
#include "daemon/completion_task.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/shard_task.h"
#include "daemon/store_executor.h"
#include "ledger/step_ledger.h"

namespace boragedoor::daemon {

/// The next batch for a trainer, or why there is none.
struct batch_answer {
  ledger::batch_reply_kind kind = ledger::batch_reply_kind::none_yet;
  std::uint64_t n = 0;
  std::string content;
  error reason;
};

/// Does the work of the trainer shards that this instance holds: runs the samples of open steps
/// and keeps their ledgers.
class trainer_task {
public:
  trainer_task(const daemon_context& context, store::store_client& store, shard_task& shards,
               announcement_task& announcements, completion_task& completions);

  void start();
  void on_configuration(const configuration_ptr& configuration);

  [[nodiscard]] bool holds(const std::string& trainer) const { return held_.contains(trainer); }

  /// These need `holds(trainer)`. Each `done` is called exactly once.
  void open_step(const std::string& trainer, std::uint64_t step, ledger::step_spec spec,
                 std::function<void(result<void>)> done);
  /// Returns a number for `cancel_poll`.
  std::uint64_t poll_batch(const std::string& trainer, std::uint64_t step, std::uint64_t after,
                           duration wait, std::function<void(const batch_answer&)> done);
  void cancel_poll(std::uint64_t request);
  void acknowledge(const std::string& trainer, std::uint64_t step, std::uint64_t n,
                   std::function<void(result<void>)> done);
  /// The trainer has published a version; any instance may take this.
  void announce_version(const std::string& trainer, const std::string& model,
                        std::uint64_t version);

private:
  using step_id = std::pair<std::string, std::uint64_t>;
  struct held_trainer {
    std::uint64_t token = 0;
    bool recovered = false;
    bool stopping = false;
    std::vector<std::function<void()>> waiting;
  };
  struct open_request {
    step_id step;
    std::function<void(result<void>)> done;
    std::function<void(const batch_answer&)> on_batch;
  };

  void tick();
  void recover(const std::string& trainer, std::uint64_t token);
  void drop(const std::string& trainer);
  void after_recovery(const std::string& trainer, std::function<void()> fn);
  ledger::step_ledger* find(const step_id& step);
  ledger::step_ledger& find_or_create(const step_id& step);
  [[nodiscard]] std::uint64_t version_of(const std::string& trainer) const;

  using feed_function = std::function<ledger::actions(ledger::step_ledger&)>;

  /// Runs what `fn` makes of a step's ledger, if the shard is still held under that token.
  void feed(const step_id& step, std::uint64_t token, const feed_function& fn);
  void run(const step_id& step, const ledger::actions& actions);
  void carry_out(const step_id& step, const store_put& it);
  void carry_out(const step_id& step, const store_get& it);
  void carry_out(const step_id& step, const store_delete& it);
  void carry_out(const step_id& step, const ledger::run_sample& it);
  void carry_out(const step_id& step, const ledger::open_reply& it);
  void carry_out(const step_id& step, const ledger::batch_reply& it);
  void carry_out(const step_id& step, const ledger::acknowledge_reply& it);
  void carry_out(const step_id& step, const ledger::step_event& it);
  void carry_out(const step_id& step, const ledger::step_stopped& it);
  void reply(std::uint64_t request, const result<void>& outcome);

  const daemon_context& context_;
  store::store_client& client_;
  store_executor store_;
  shard_task& shards_;
  announcement_task& announcements_;
  completion_task& completions_;
  net::timer timer_;
  configuration_ptr configuration_;
  std::map<std::string, held_trainer> held_;
  std::map<step_id, std::unique_ptr<ledger::step_ledger>> ledgers_;
  /// Completions of each step, to be cancelled when the shard is lost.
  std::map<step_id, std::vector<std::uint64_t>> running_;
  std::map<std::uint64_t, open_request> requests_;
  /// Newest announced version of each model.
  std::map<std::string, std::uint64_t> versions_;
  std::uint64_t last_request_ = 0;
};

} // namespace boragedoor::daemon
