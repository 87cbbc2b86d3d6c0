#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "platform_fixture.h"

namespace boragedoor::platform {

inline constexpr std::string_view crashing_target = "/plans/crash";
/// The users' bound: how often a request may reach endpoints once it has crashed three of them and
/// `settling_time` has passed.
inline constexpr std::size_t allowed_retries = 3;
inline constexpr std::size_t crashes_before_bound = 3;
inline constexpr duration settling_time = seconds(3);

/// Four endpoints that crash when they begin to execute a request to `crashing_target`.
struct crash_fixture : platform_fixture {
  crash_fixture() {
    plain->crashing_target = crashing_target;
    for (int n = 2; n <= 4; ++n) {
      others.push_back(std::make_unique<replica_stand_in>(
          *loop, store,
          replica_stand_in::options{.id = "p-" + std::to_string(n), .service = "plain"}));
      others.back()->crashing_target = crashing_target;
    }
  }

  void for_each_endpoint(const std::function<void(replica_stand_in&)>& visit) {
    visit(*plain);
    for (const auto& it : others) {
      visit(*it);
    }
  }

  /// Number of times that endpoints began to execute a caller's requests with this id prefix.
  std::size_t executions(std::string_view prefix) {
    std::size_t n = 0;
    for_each_endpoint([&](const replica_stand_in& it) {
      n += static_cast<std::size_t>(
          std::count_if(it.executed_ids.begin(), it.executed_ids.end(),
                        [&](const std::string& id) { return id.starts_with(prefix); }));
    });
    return n;
  }

  /// Waits until all endpoints run again and an instance knows them.
  void wait_for_endpoints(const serving_process& at) {
    REQUIRE(loop->run_until(
        [&] {
          bool all = true;
          for_each_endpoint([&](const replica_stand_in& it) {
            all = all && it.is_running() &&
                  const_cast<serving_process&>(at).context().endpoints.find(it.id()) != nullptr;
          });
          return all;
        },
        wait_limit));
  }

  int send_crashing(const serving_process& at, const std::string& key = "key-n") {
    return call(at, "POST", std::string(crashing_target), "body that crashes", key,
                "x" + std::to_string(++sent))
        .status;
  }

  std::vector<std::unique_ptr<replica_stand_in>> others;
  int sent = 0;
};

} // namespace boragedoor::platform
