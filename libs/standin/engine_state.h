#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "standin/generated_text.h"
#include "standin/prefix_cache.h"

namespace boragedoor::standin {

/// How an engine stand-in computes.
struct engine_settings {
  /// Requests that run at the same time.
  std::size_t max_batch = 32;
  /// Output tokens per second, shared by the running requests.
  double tokens_per_second = 2000;
  /// Shortest time between two tokens of one request.
  duration token_interval = milliseconds(2);
  double prompt_tokens_per_second = 50000;
  /// Tokens that the memory holds, of running requests and of cached prefixes.
  std::int64_t kv_total = 65536;
  duration swap_time = milliseconds(200);
  std::int64_t weight_version = 1;
  std::string role = "mixed";
  /// Age of the figures that `load` gives.
  duration load_lag = milliseconds(100);
  prefix_cache::event_settings cache_events{milliseconds(50), 10};
};

/// One completion to compute.
struct engine_request {
  std::string prompt;
  /// Bound of the whole text, what is resumed included.
  std::int64_t max_tokens = 16;
  std::uint64_t seed = 0;
  /// The greater, the earlier it leaves the queue.
  std::int64_t priority = 0;
  std::string resume_text;
};

/// What a load report says.
struct engine_load {
  std::size_t running = 0;
  std::size_t queued = 0;
  std::int64_t kv_used = 0;
  double tokens_per_second = 0;
  std::int64_t weight_version = 0;
  std::string role;
  bool draining = false;
  time_point as_of{};
};

struct request_started {
  std::uint64_t id = 0;
};

struct token_made {
  std::uint64_t id = 0;
  std::int64_t index = 0;
  std::string text;
  std::int64_t weight_version = 0;
};

struct request_finished {
  std::uint64_t id = 0;
  std::string finish_reason;
  std::vector<std::int64_t> weight_versions;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t cached_tokens = 0;
};

struct swap_finished {
  std::string order_id;
  bool applied = false;
};

using engine_event = std::variant<request_started, token_made, request_finished, swap_finished>;

/// Scheduler of an engine with continuous batching. Pure: the present time is an argument, and
/// `advance` returns what happened up to then, in order.
class engine_state {
public:
  explicit engine_state(engine_settings settings);

  /// Queues a request and returns its id.
  std::uint64_t submit(engine_request it, time_point now);

  /// Forgets a request whose caller has left.
  void cancel(std::uint64_t id, time_point now);

  std::vector<engine_event> advance(time_point now);

  /// When `advance` has something to do next.
  [[nodiscard]] std::optional<time_point> next_due() const;

  /// Starts to load a version, after the loads that were started before. Output pauses meanwhile.
  void start_swap(const std::string& order_id, std::int64_t version, bool fails, time_point now);

  void load_adapter(const std::string& name) { adapters_.insert(name); }
  [[nodiscard]] bool has_adapter(const std::string& name) const { return adapters_.contains(name); }

  /// Sets the role and ends a drain.
  void set_role(const std::string& role, time_point now);
  void drain(time_point now);
  [[nodiscard]] bool is_draining() const { return draining_; }

  /// Loses requests, cache, adapters and loaded versions, as a restart of the process does.
  void crash(time_point now);

  /// The figures as they were `load_lag` ago.
  engine_load load(time_point now);

  [[nodiscard]] const engine_settings& settings() const { return settings_; }
  prefix_cache& cache() { return cache_; }

private:
  struct job {
    std::uint64_t id = 0;
    engine_request request;
    generated_text text;
    std::int64_t index = 0;
    std::int64_t first_index = 0;
    // Bytes of the next token that the resumed text already has.
    std::size_t skip_bytes = 0;
    std::int64_t end_index = 0;
    std::int64_t cached_tokens = 0;
    time_point prompt_done{};
    std::vector<std::int64_t> weight_versions{};

    [[nodiscard]] std::int64_t prompt_size() const {
      return prompt_tokens(request.prompt.size() + request.resume_text.size());
    }
  };

  struct swap {
    std::string order_id;
    std::int64_t version = 0;
    bool fails = false;
  };

  void admit(time_point now);
  void step(time_point now);
  void make_token(job& it);
  void finish(const job& it);
  void end_swap(time_point now);
  void plan_step(time_point now);
  [[nodiscard]] duration step_time(std::size_t n) const;
  [[nodiscard]] std::int64_t running_tokens() const;
  void changed(time_point now);

  engine_settings settings_;
  prefix_cache cache_;
  std::uint64_t last_id_ = 0;
  // Waiting requests, the most urgent first.
  std::deque<job> queue_;
  std::vector<job> running_;
  std::optional<time_point> next_step_;
  std::deque<swap> swaps_;
  time_point swap_end_{};
  std::int64_t weight_version_;
  std::string role_;
  bool draining_ = false;
  std::set<std::string, std::less<>> adapters_;
  std::vector<engine_event> events_;
  // Past figures, of which the last one that is old enough is reported.
  std::deque<engine_load> loads_;
};

} // namespace boragedoor::standin
