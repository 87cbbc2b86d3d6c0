#pragma once

#include <map>
#include <string>

#include "instance/instance_context.h"

namespace boragedoor::instance {

/// Keeps requests from the endpoints of data centres that operators evacuate, and reports what
/// still runs there.
class evacuation_task {
public:
  explicit evacuation_task(instance_context& context);

  /// Starts or ends the evacuation of a data centre.
  void set(const std::string& data_centre, bool evacuated);

private:
  struct evacuation {
    time_point since{};
    bool is_empty = false;
  };

  /// Updates the metrics, and records when the last request at a data centre has ended.
  void tick();

  instance_context& context_;
  /// Evacuations in force by data centre.
  std::map<std::string, evacuation, std::less<>> in_force_;
  net::timer timer_;
};

} // namespace boragedoor::instance
