#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::standin {

/// The endpoints that the platform runs and those that it can add. Pure.
class ordering_state {
public:
  /// `start_time` is how long an added endpoint stays "starting", `drain_time` how long a
  /// surplus one stays "draining".
  ordering_state(duration start_time, duration drain_time)
      : start_time_(start_time), drain_time_(drain_time) {}

  /// Replaces all endpoints. The document is `{"endpoints":[...]}`; a state "spare" marks an
  /// endpoint that an order may add. Fails with `invalid_argument` and changes nothing.
  result<void> replace(const json& document);

  /// Adds spare endpoints or drains surplus ones until `count` of the tier are starting or live.
  /// Returns how many are; fewer when the spare ones do not suffice.
  std::size_t set_count(std::string_view data_centre, std::string_view pool, std::string_view tier,
                        std::size_t count, time_point now);

  /// Takes back all endpoints of the tier "cheap" in a data centre: they are "gone" at once.
  std::size_t reclaim(std::string_view data_centre);

  /// The document of GET /endpoints. Spare endpoints are left out.
  [[nodiscard]] json list(time_point now);

private:
  struct endpoint {
    json fields;
    std::string state;
    time_point since{};
  };

  [[nodiscard]] static bool matches(const endpoint& it, std::string_view data_centre,
                                    std::string_view pool, std::string_view tier);
  void move_on(time_point now);

  duration start_time_;
  duration drain_time_;
  std::vector<endpoint> endpoints_;
};

} // namespace boragedoor::standin
