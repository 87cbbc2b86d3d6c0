#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bench/deployment.h"
#include "bench/event_queue.h"
#include "bench/simulated_endpoint.h"
#include "retry/attempt_progress.h"
#include "routing/endpoint_health.h"

namespace boragedoor::bench {

/// How an attempt ended, as its instance sees it.
struct outcome {
  std::uint64_t attempt = 0;
  bool complete = false;
  retry::attempt_progress progress = retry::nothing_sent{};
  routing::health_signal what = routing::health_signal::success;
};

/// All endpoints of a run, and the events of their attempts.
class fleet {
public:
  using listener = std::function<void(std::size_t instance, const outcome& how)>;

  fleet(event_queue& events, const deployment& where, std::uint64_t seed);
  void set_listener(listener it) { listener_ = std::move(it); }

  void start(std::size_t instance, std::size_t endpoint, const job& it);
  /// Ends an attempt without an outcome; returns its output tokens.
  int cancel(std::uint64_t id);
  [[nodiscard]] int tokens_of(std::uint64_t id);

  /// Takes an endpoint away. A silent loss is noticed only by the progress deadline, and new
  /// connections to it time out instead of being refused.
  void crash(std::size_t endpoint, bool silent);
  void restore(std::size_t endpoint);
  void set_speed(std::size_t endpoint, double factor);

  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }
  [[nodiscard]] const simulated_endpoint& at(std::size_t i) const { return endpoints_[i]; }
  [[nodiscard]] std::size_t index_of(std::string_view id) const;
  void publish_loads();
  [[nodiscard]] static bool is_engine(const simulated_endpoint& it);

private:
  struct attempt {
    std::size_t instance = 0;
    std::size_t endpoint = 0;
  };
  void add(const deployment& where, routing::endpoint_kind kind, int n, std::uint64_t seed);
  void schedule(std::size_t endpoint);
  void fail(std::uint64_t id, const attempt& it, duration after, const outcome& how);

  event_queue& events_;
  std::vector<simulated_endpoint> endpoints_;
  std::vector<bool> silent_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::unordered_map<std::uint64_t, attempt> attempts_;
  listener listener_;
};

} // namespace boragedoor::bench
