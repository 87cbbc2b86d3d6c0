#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/order_gate.h"
#include "daemon/announcement_task.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/endpoint_task.h"
#include "daemon/shard_task.h"
#include "freshness/weight_rollout.h"
#include "net/http_client.h"

namespace boragedoor::daemon {

/// Does the work of the data-centre shards that this instance holds: brings the engines of each
/// data centre to the newest weight version in waves. Every order passes the shard's order gate.
class order_task {
public:
  order_task(const daemon_context& context, endpoint_task& endpoints, shard_task& shards,
             announcement_task& announcements);

  void start();

private:
  struct data_centre_state {
    control::order_gate gate;
    /// Set while the shard is held.
    std::optional<freshness::weight_rollout> rollout;
    /// Engines that the rollout knows.
    std::set<std::string> engines;
    bool held = false;
    bool stopping = false;
    /// Askers that wait until nothing is open, by the id given to the gate.
    std::map<std::string, std::function<void(bool)>> askers;
  };

  void tick();
  void start_rollout(const std::string& shard, data_centre_state& it);
  void roll_out(const std::string& shard, data_centre_state& it);
  void want_version(const std::string& shard, const std::string& engine, const std::string& model,
                    std::uint64_t version);
  void run(const std::string& shard, const std::vector<control::order_action>& actions);
  void carry_out(const std::string& shard, const control::send_order& it);
  void carry_out(const std::string& shard, const control::confirm_step_down& it);
  void finish(const std::string& shard, const std::string& order, bool settled);
  void swap_answered(const std::string& shard, const control::order& it, bool applied);
  void on_step_down(const step_down_request& request);
  data_centre_state& state_of(const std::string& shard);
  [[nodiscard]] control::order_permit permit(const std::string& shard) const;
  void record(events::event_number number, const std::string& shard, const control::order& it,
              const std::string& reason = {});

  const daemon_context& context_;
  endpoint_task& endpoints_;
  shard_task& shards_;
  net::timer timer_;
  std::map<std::string, data_centre_state> data_centres_;
  std::map<std::string, std::uint64_t> versions_;
};

} // namespace boragedoor::daemon
