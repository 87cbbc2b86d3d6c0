#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/order_gate.h"
#include "daemon/announcement_task.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/endpoint_task.h"
#include "daemon/shard_task.h"
#include "net/http_client.h"

namespace boragedoor::daemon {

/// Does the work of the data-centre shards that this instance holds: keeps the endpoints of each
/// data centre at the newest weight version. Every order passes the shard's order gate.
class order_task {
public:
  order_task(const daemon_context& context, endpoint_task& endpoints, shard_task& shards,
             announcement_task& announcements);

  void start();

private:
  struct data_centre_state {
    control::order_gate gate;
    bool held = false;
    bool stopping = false;
    /// Askers that wait until nothing is open, by the id given to the gate.
    std::map<std::string, std::function<void(bool)>> askers;
  };

  void tick();
  void want_versions(const std::string& shard, data_centre_state& it);
  void run(const std::string& shard, const std::vector<control::order_action>& actions);
  void carry_out(const std::string& shard, const control::send_order& it);
  void carry_out(const std::string& shard, const control::answer_stepped_down& it);
  void finish(const std::string& shard, const std::string& order, bool settled);
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
