#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/decisions.h"
#include "bench/event_queue.h"
#include "bench/fleet.h"
#include "bench/measurement.h"
#include "bench/workload.h"

namespace boragedoor::bench {

/// What an instance of the bench works with; all of it outlives the instance.
struct surroundings {
  event_queue& events;
  fleet& endpoints;
  measurement& results;
  const deployment& where;
  policy_parts parts;
  /// Takes requests of an instance that is gone to another one.
  std::function<void(const arrival&)> resubmit;
  int live_instances = 1;
};

/// One instance: carries out what its decision code decides. Holds the life of each request; every
/// choice is made by `decisions`.
class simulated_instance {
public:
  simulated_instance(std::size_t index, std::string data_centre, decisions deciding,
                     surroundings& around);

  void arrive(const arrival& it);
  void ended(const outcome& how);
  /// Reads load reports and cache events, as far as the endpoint answers.
  void read_endpoint(std::size_t endpoint);
  /// Periodic work, once a second.
  void tick();
  /// Loses everything; callers ask another instance.
  void crash();
  void restore() { alive_ = true; }
  [[nodiscard]] bool alive() const { return alive_; }

  [[nodiscard]] decisions& deciding() { return deciding_; }

private:
  struct attempt {
    std::uint64_t request = 0;
    std::size_t endpoint = 0;
    time_point started;
    /// Tokens that a hedge reserved; 0 for first attempts.
    int reserved = 0;
  };
  struct open_request {
    const arrival* what = nullptr;
    int attempts = 0;
    /// Tokens of text that earlier attempts left and a resumed one continues after.
    int text = 0;
    bool maybe_executed = false;
    bool hedged = false;
    std::vector<std::string> failed_on;
    std::optional<routing::kv_location> kv;
    std::vector<std::uint64_t> running;
  };
  using requests = std::unordered_map<std::uint64_t, open_request>;

  void refuse(const arrival& it, const admission::refused& why);
  void poll(pool where);
  void pause(std::uint64_t id);
  void dispatch(std::uint64_t id, int reserved = 0);
  [[nodiscard]] routing::route_request needs_of(const open_request& it) const;
  void send(std::uint64_t id, open_request& it, const routing::route_choice& choice, int reserved);
  void completed(std::uint64_t id, const attempt& by);
  void failed(std::uint64_t id, const attempt& by, const outcome& how);
  void decide_retry(std::uint64_t id, const retry::attempt_progress& progress);
  void retry_at(std::uint64_t id, const retry::retry_attempt& when, int tokens);
  /// Ends an attempt from this side; returns its tokens.
  int stop(std::uint64_t attempt_id);
  void stop_all(open_request& it);
  void end(std::uint64_t id, ending how, int tokens);
  void deadline_passed(std::uint64_t id);
  void hedge_stragglers();
  void note_progress();
  void learn(std::size_t endpoint, routing::health_signal what);

  std::size_t index_;
  std::string data_centre_;
  decisions deciding_;
  surroundings& around_;
  bool alive_ = true;
  time_point crashed_at_;
  std::uint64_t next_id_ = 1;
  requests requests_;
  std::unordered_map<std::uint64_t, attempt> attempts_;
  std::unordered_map<std::size_t, int> group_open_;
  std::vector<std::uint64_t> cache_sequences_;
};

} // namespace boragedoor::bench
