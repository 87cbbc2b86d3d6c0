#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/trainer_checks.h"

namespace boragedoor::standin {

struct trainer_options {
  std::string trainer = "trainer-1";
  /// Instances to ask; the next one is tried after a failure.
  std::vector<net::address> targets;
  /// Workspace key that is sent as bearer token.
  std::string key;
  std::string model = "model";
  std::int64_t steps = 1;
  std::int64_t groups = 4;
  std::int64_t group_size = 4;
  std::int64_t max_tokens = 256;
  /// Versions that a sample may be behind.
  std::int64_t staleness_bound = 1;
  /// Version of the first step; each step publishes the next one.
  std::int64_t first_version = 1;
  std::string prompt = "Propose a signal plan";
  /// Weight store to publish to; port 0 publishes nowhere.
  net::address weight_store;
  /// Longest wait of one pull.
  duration wait = seconds(5);
  /// Every batch whose number is a multiple of this is pulled again before it is acknowledged;
  /// 0 repeats none.
  std::int64_t repeat_every = 3;
  duration retry_delay = milliseconds(100);
  /// Time for everything; what is missing then is a violation.
  duration time_limit = seconds(600);
};

/// A trainer: it opens steps, pulls and acknowledges batches, publishes weights, and checks what
/// it gets.
class trainer_client {
public:
  trainer_client(net::event_loop& loop, trainer_options options);

  /// Runs all steps. `on_done` is called once at the end.
  void start(std::function<void()> on_done);

  [[nodiscard]] bool is_done() const { return done_; }
  [[nodiscard]] const trainer_checks& checks() const { return checks_; }

  /// What happened so far: counts, times in milliseconds and violations.
  [[nodiscard]] json summary() const;

private:
  using reply_handler = std::function<void(const net::http_reply&)>;

  struct request {
    // Port 0 means the current instance.
    net::address target;
    std::string method;
    std::string path;
    json body;
    reply_handler on_reply;
    // Holders followed since the last retry.
    int hops = 0;
  };

  void open_step();
  void pull(bool wait);
  void receive(const net::http_reply& reply, bool waited);
  void acknowledge();
  void repeat(const net::http_reply& reply);
  void finish_step();
  void publish();
  void announce();
  void next_step();
  void finish();

  // Sends until a reply settles the request: 2xx, or a refusal that no retry can change.
  void send(const request& it);
  void settle(const request& it, const net::http_reply& reply);
  bool follow_holder(request it, const net::http_reply& reply);
  void retry(const request& it);

  [[nodiscard]] std::string step_path() const;
  [[nodiscard]] json step_body(std::map<std::string, std::int64_t>& sizes) const;

  net::event_loop& loop_;
  trainer_options options_;
  net::http_client client_;
  net::timer retry_timer_;
  net::timer limit_timer_;
  trainer_checks checks_;
  std::function<void()> on_done_;
  std::function<void()> retry_step_;
  net::address target_;
  std::size_t next_target_ = 0;
  std::int64_t step_ = 1;
  std::int64_t version_;
  std::int64_t steps_done_ = 0;
  std::int64_t retries_ = 0;
  std::int64_t redirects_ = 0;
  // The batch that is pulled again before it is acknowledged, or 0.
  std::int64_t repeating_ = 0;
  // Whether a batch said that the step is complete.
  bool step_complete_ = false;
  time_point step_start_{};
  std::vector<std::int64_t> step_times_ms_;
  bool done_ = false;
};

} // namespace boragedoor::standin
