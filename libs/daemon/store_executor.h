#pragma once

#include <functional>

#include "base/store_action.h"
#include "store/store_client.h"

namespace boragedoor::daemon {

/// Carries out the store actions of state machines and feeds exactly one result back for each.
class store_executor {
public:
  explicit store_executor(store::store_client& client) : client_(client) {}

  using write_done = std::function<void(const store_write_result&)>;
  using read_done = std::function<void(const store_read_result&)>;

  void run(const store_put& action, write_done done);
  void run(const store_delete& action, write_done done);
  void run(const store_get& action, read_done done);

private:
  store::store_client& client_;
};

} // namespace boragedoor::daemon
