#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/member.h"
#include "base/random.h"
#include "control/lease_holder.h"
#include "control/naive_control.h"
#include "control/order_gate.h"
#include "control/takeover.h"

namespace boragedoor::control {

/// Selects the implementations that the simulated processes use.
enum class world_mode { full, expiry_only, naive };

enum class fault_kind {
  pause,
  /// Pauses the process between the check of an order and the write of its bytes.
  pause_at_send,
  kill,
  drain,
  store_outage,
  lose_store_requests,
  lose_store_answers,
  /// Store calls take effect only after the caller was told that the outcome is unknown.
  delay_store_calls,
  lose_messages,
  count,
};

struct fault {
  fault_kind kind = fault_kind::pause;
  std::size_t process = 0;
  milliseconds start{};
  milliseconds length{};
};

/// Counts and violations that the simulation observes directly, independent of the tested code.
struct world_report {
  /// Orders that arrived at a token-ignoring target after an order with a higher token.
  int conflicts = 0;
  /// Checks at which more than one process held a valid permit for the same shard.
  int double_permits = 0;
  /// Orders that arrived after a different order from the same sender had replaced them.
  int replaced_orders = 0;
  int arrivals = 0;
  int takeovers = 0;
  int store_calls = 0;
  std::map<fault_kind, int> faults;
  /// Shards whose token-ignoring target received no order in the last 8 seconds of the run.
  std::vector<std::string> idle_shards;
};

/// Simulates three instances, a store and a platform in virtual time under a schedule of faults
/// that start before `fault_time`. The run then continues for `recovery_time`, so that every shard
/// must recover.
class control_world {
public:
  static constexpr seconds fault_time = seconds(60);
  static constexpr seconds recovery_time = seconds(75);

  control_world(world_mode mode, std::uint64_t seed, std::vector<fault> faults);
  const world_report& run();

private:
  struct task {
    std::unique_ptr<order_gate> gate;
    std::optional<takeover> active_takeover;
    int requested_states = 0;
    bool is_stopping = false;
    time_point next_request;
  };
  struct process {
    std::string instance;
    std::string boot_id;
    double clock_rate = 1;
    duration started{};
    duration paused_until{};
    std::optional<duration> pause_next_send;
    bool is_alive = true;
    std::optional<lease_holder> lease;
    naive_lease_holder naive;
    std::map<std::string, task> tasks;
  };
  using process_ptr = std::shared_ptr<process>;
  struct stored_holders {
    std::vector<former_holder> list;
    std::uint64_t version = 0;
  };
  struct target_log {
    fencing_token highest_token = 0;
    duration last_arrival{};
    std::map<std::string, std::string> last_order_id;
    std::set<std::string> replaced;
  };
  using effect = std::function<std::function<void()>()>;

  void schedule(duration delay, std::function<void()> run);
  void run_on_process(const process_ptr& to, duration delay, std::function<void()> run);
  void start(std::size_t process_index);
  void tick_process(const process_ptr& p);
  void send_list(const process_ptr& p);
  void inject_fault(const fault& injected);
  void restart_process(const process_ptr& p, std::size_t process_index, duration downtime);
  void send_store_call(const process_ptr& p, effect run, std::function<void()> unknown);
  void expire_leases();
  void run_task(const process_ptr& p, const std::string& shard, task& state);
  void execute(const process_ptr& p, const std::vector<lease_action>& actions);
  void execute(const process_ptr& p, const std::vector<takeover_action>& actions);
  void execute(const process_ptr& p, const std::string& shard,
               const std::vector<order_action>& actions);
  void perform(const process_ptr& p, const grant_store_lease& action);
  void perform(const process_ptr& p, const renew_store_lease& action);
  void perform(const process_ptr& p, const revoke_store_lease& action);
  void perform(const process_ptr& p, const create_lease_key& action);
  void perform(const process_ptr& p, const read_lease_key& action);
  void perform(const process_ptr& p, const delete_lease_key& action);
  void perform(const process_ptr& p, const shard_acquired& action);
  void perform(const process_ptr& p, const shard_stopping& action);
  void perform(const process_ptr& p, const shard_lost& action);
  void perform(const process_ptr& p, const shard_released& action);
  void perform(const process_ptr& p, const read_holders& action);
  void perform(const process_ptr& p, const write_holders& action);
  void perform(const process_ptr& p, const request_step_down& action);
  void perform(const process_ptr& p, const takeover_cleared& action);
  void perform(const process_ptr& p, const holder_removed& action);
  void deliver_reply(const process_ptr& p, const std::string& shard, const former_holder& asked,
                     step_down_reply reply, const std::string& boot_id);
  void send(const process_ptr& p, const std::string& shard, const send_order& action);
  void write_bytes(const process_ptr& p, const std::string& shard, const send_order& action);
  void record_arrival(const process_ptr& from, const std::string& shard, const send_order& action);
  void deliver_confirmation(const process_ptr& p, const confirm_step_down& confirmation);
  void check_permits();
  [[nodiscard]] order_permit permit(const process& p, const std::string& shard) const;
  [[nodiscard]] time_point local_time(const process& p) const;
  [[nodiscard]] bool is_active(fault_kind kind) const;
  duration random(duration low, duration high);
  bool with_probability(double probability);

  world_mode mode_;
  random_engine random_;
  std::vector<fault> faults_;
  duration now_{};
  std::uint64_t event_sequence_ = 0;
  std::map<std::pair<duration, std::uint64_t>, std::function<void()>> queue_;
  std::vector<process_ptr> processes_;
  std::map<fault_kind, duration> faults_until_;
  std::uint64_t revision_ = 0;
  std::map<std::string, duration> store_leases_;
  std::map<std::string, lease_entry> lease_keys_;
  std::map<std::string, stored_holders> holders_;
  std::map<std::string, target_log> targets_;
  /// The actual live instances by time. Processes receive a delayed copy.
  std::map<duration, std::vector<member>> instance_lists_;
  int boot_count_ = 0;
  world_report report_;
};

/// Generates a fault schedule from a seed, for runs outside RapidCheck.
std::vector<fault> generate_faults(std::uint64_t seed);

} // namespace boragedoor::control
