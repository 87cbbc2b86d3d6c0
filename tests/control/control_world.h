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

/// Which implementations the simulated processes use.
enum class world_mode { full, expiry_only, naive };

enum class fault_kind {
  pause,
  /// Pauses between the check of an order and the write of its bytes.
  pause_at_send,
  kill,
  drain,
  store_outage,
  lose_store_requests,
  lose_store_answers,
  /// Store calls take effect after the caller was told that the outcome is unknown.
  delay_store_calls,
  lose_messages,
  count,
};

struct fault {
  fault_kind kind = fault_kind::pause;
  std::size_t process = 0;
  milliseconds at{};
  milliseconds length{};
};

/// What the obviously right observer at the targets saw.
struct world_report {
  /// Arrivals at a token-ignoring target under a lower token than one that had arrived.
  int conflicts = 0;
  /// Times at which two processes held a valid permit for one shard.
  int double_permits = 0;
  /// Arrivals of an order that its sender had already replaced by another.
  int replaced_orders = 0;
  int arrivals = 0;
  int takeovers = 0;
  int store_calls = 0;
  std::map<fault_kind, int> faults;
  /// Shards whose token-ignoring target got no order in the last seconds after healing.
  std::vector<std::string> silent_shards;
};

/// Three instances, a store and a platform in virtual time, driven by a schedule of faults. Faults
/// end before `fault_time`; then everything heals and the run goes on for `quiet_time`.
class control_world {
public:
  static constexpr seconds fault_time = seconds(60);
  static constexpr seconds quiet_time = seconds(75);

  control_world(world_mode mode, std::uint64_t seed, std::vector<fault> faults);
  const world_report& run();

private:
  struct task {
    std::unique_ptr<order_gate> gate;
    std::optional<takeover> clearing;
    int wishes = 0;
    bool is_stopping = false;
    time_point next_wish;
  };
  struct process {
    std::string instance;
    std::string boot;
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
    fencing_token highest = 0;
    duration last_arrival{};
    std::map<std::string, std::string> last_id;
    std::set<std::string> replaced;
  };
  using effect = std::function<std::function<void()>()>;

  void at(duration delay, std::function<void()> run);
  void deliver(const process_ptr& to, duration delay, std::function<void()> run);
  void start(std::size_t n);
  void step(const process_ptr& p);
  void send_list(const process_ptr& p);
  void inject(const fault& it);
  void stop_process(const process_ptr& p, std::size_t n, duration down);
  void call_store(const process_ptr& p, effect run, std::function<void()> unknown);
  void expire_leases();
  void run_task(const process_ptr& p, const std::string& shard, task& it);
  void carry_out(const process_ptr& p, const std::vector<lease_action>& actions);
  void carry_out(const process_ptr& p, const std::vector<takeover_action>& actions);
  void carry_out(const process_ptr& p, const std::string& shard,
                 const std::vector<order_action>& actions);
  void perform(const process_ptr& p, const grant_store_lease& it);
  void perform(const process_ptr& p, const renew_store_lease& it);
  void perform(const process_ptr& p, const revoke_store_lease& it);
  void perform(const process_ptr& p, const create_lease_key& it);
  void perform(const process_ptr& p, const read_lease_key& it);
  void perform(const process_ptr& p, const delete_lease_key& it);
  void perform(const process_ptr& p, const shard_acquired& it);
  void perform(const process_ptr& p, const shard_stopping& it);
  void perform(const process_ptr& p, const shard_lost& it);
  void perform(const process_ptr& p, const shard_released& it);
  void perform(const process_ptr& p, const read_holders& it);
  void perform(const process_ptr& p, const write_holders& it);
  void perform(const process_ptr& p, const ask_step_down& it);
  void perform(const process_ptr& p, const takeover_cleared& it);
  void perform(const process_ptr& p, const holder_removed& it);
  void answer(const process_ptr& p, const std::string& shard, const former_holder& asked,
              step_down_reply reply, const std::string& boot);
  void send(const process_ptr& p, const std::string& shard, const send_order& it);
  void write_bytes(const process_ptr& p, const std::string& shard, const send_order& it);
  void arrive(const process_ptr& from, const std::string& shard, const send_order& it);
  void step_down_answered(const process_ptr& p, const answer_stepped_down& it);
  void check_permits();
  [[nodiscard]] order_permit permit(const process& p, const std::string& shard) const;
  [[nodiscard]] time_point local(const process& p) const;
  [[nodiscard]] bool is_active(fault_kind kind) const;
  duration random(duration low, duration high);
  bool flip(double probability);

  world_mode mode_;
  random_engine random_;
  std::vector<fault> faults_;
  duration now_{};
  std::uint64_t order_ = 0;
  std::map<std::pair<duration, std::uint64_t>, std::function<void()>> queue_;
  std::vector<process_ptr> processes_;
  std::map<fault_kind, duration> active_until_;
  std::uint64_t revision_ = 0;
  std::map<std::string, duration> store_leases_;
  std::map<std::string, lease_entry> lease_keys_;
  std::map<std::string, stored_holders> holders_;
  std::map<std::string, target_log> targets_;
  /// The true list of live instances over time, from which processes get a lagging copy.
  std::map<duration, std::vector<member>> lists_;
  int boots_ = 0;
  world_report report_;
};

/// Draws a schedule from a seed, for runs outside RapidCheck.
std::vector<fault> draw_faults(std::uint64_t seed);

} // namespace boragedoor::control
