#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/json.h"
#include "base/time.h"

namespace boragedoor::standin {

/// The platform's list of instances, which lags behind the truth. Pure.
class instance_state {
public:
  explicit instance_state(duration lag) : lag_(lag) {}

  void put(const std::string& id, json fields, time_point now);
  void remove(const std::string& id, time_point now);

  /// The list as it was `lag` ago.
  [[nodiscard]] json list(time_point now);

private:
  struct change {
    time_point at;
    std::string id;
    // Nothing when the instance was removed.
    std::optional<json> fields;
  };

  duration lag_;
  std::map<std::string, json, std::less<>> visible_;
  std::deque<change> pending_;
};

} // namespace boragedoor::standin
