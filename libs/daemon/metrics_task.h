#pragma once

#include <string>

#include "daemon/completion_task.h"
#include "daemon/daemon_context.h"
#include "daemon/peer_task.h"
#include "daemon/service_task.h"
#include "store/store_client.h"

namespace boragedoor::daemon {

/// Writes the metrics page. Gauges are read from their owners when the page is asked for.
class metrics_task {
public:
  metrics_task(const daemon_context& context, const store::store_client& store,
               const peer_task& peers, const completion_task& completions,
               const service_task& services);

  [[nodiscard]] std::string to_text() const;

private:
  const daemon_context& context_;
  const store::store_client& store_;
  const peer_task& peers_;
  const completion_task& completions_;
  const service_task& services_;
};

} // namespace boragedoor::daemon
