#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "daemon/announcement_task.h"
#include "daemon/completion_task.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/membership_task.h"
#include "daemon/peer_task.h"
#include "daemon/shard_task.h"
#include "daemon/store_executor.h"
#include "usage/usage_counter.h"
#include "usage/usage_window.h"

namespace boragedoor::daemon {

/// Counts the usage of this instance, sends it to the holders of the usage shards, and does the
/// work of the usage shards that this instance holds.
class usage_task {
public:
  usage_task(const daemon_context& context, store::store_client& store, peer_task& peers,
             shard_task& shards, announcement_task& announcements);

  void start();
  void on_configuration(const configuration_ptr& configuration);
  void on_list(std::span<const listed_instance> list);
  void record(const usage_fact& it);

  /// False once every figure is known to be with a holder; a stopping instance waits for it.
  [[nodiscard]] bool has_unconfirmed() const { return counter_ && counter_->unconfirmed(); }

  /// Reads the frozen figures of a window (0: the last that ended) from the store.
  void show(std::uint64_t window, std::function<void(result<json>)> done);

private:
  struct held_window {
    usage::usage_window state;
    std::uint64_t token = 0;
    bool stopping = false;
    /// Answers to flushes of other instances, by instance and sequence.
    std::map<std::pair<std::string, std::uint64_t>, peer_task::answer_function> answers;
  };

  void flush();
  void tick();
  void send_flush(const usage::usage_flush& it);
  void take_flush(const json& request, const peer_task::answer_function& answer);
  using feed_function = std::function<usage::actions(usage::usage_window&)>;

  /// Runs what `fn` makes of a shard's window, if the shard is still held under that token.
  void feed(std::uint32_t shard, std::uint64_t token, const feed_function& fn);
  std::uint64_t token_of(std::uint32_t shard);
  void run(std::uint32_t shard, const usage::actions& actions);
  void carry_out(std::uint32_t shard, const store_put& it);
  void carry_out(std::uint32_t shard, const store_get& it);
  void carry_out(std::uint32_t shard, const store_delete& it);
  void carry_out(std::uint32_t shard, const usage::usage_flush_merged& it);
  void carry_out(std::uint32_t shard, const usage::usage_window_frozen& it);
  void carry_out(std::uint32_t shard, const usage::send_report& it);
  void carry_out(std::uint32_t shard, const usage::window_note& it);
  void carry_out(std::uint32_t shard, const usage::window_stopped& it);
  void take_frozen(const usage::usage_window_frozen& it);
  held_window* find(std::uint32_t shard);
  void on_step_down(const step_down_request& request);
  [[nodiscard]] bool is_self(const usage::usage_source& source) const;

  const daemon_context& context_;
  store_executor store_;
  store::store_client& client_;
  peer_task& peers_;
  shard_task& shards_;
  net::timer flush_timer_;
  net::timer tick_timer_;
  duration window_length_ = seconds(60);
  std::optional<usage::usage_counter> counter_;
  std::map<std::uint32_t, held_window> held_;
  std::map<std::uint32_t, net::address> holders_;
  std::map<std::string, net::address> instances_;
  /// Reports that were sent and have no answer yet, by shard: until then this process has not
  /// stepped down.
  std::map<std::uint32_t, int> open_reports_;
};

} // namespace boragedoor::daemon
