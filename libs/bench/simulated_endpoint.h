#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "bench/deployment.h"
#include "routing/endpoint_table.h"
#include "routing/prefix_cache_hints.h"

namespace boragedoor::bench {

/// One attempt on an endpoint.
struct job {
  std::uint64_t attempt = 0;
  int tokens = 1;
  int prompt_tokens = 0;
  std::span<const routing::prefix_hash> prefix;
  int priority = 0;
  double straggle = 1;
  /// Tokens of text and prompt whose KV cache is there already, and the cost of bringing it.
  int kv_tokens = 0;
  double kv_seconds = 0;
};

/// Rate model of an endpoint: running requests share the token rate, more wait by priority, and a
/// prompt costs time for the blocks that are not in its prefix cache.
class simulated_endpoint {
public:
  simulated_endpoint(routing::endpoint description, const endpoint_model& model,
                     std::uint64_t seed);

  void submit(const job& it, time_point now);
  /// Ends an attempt and returns its output tokens so far.
  int cancel(std::uint64_t attempt, time_point now);
  [[nodiscard]] int tokens_of(std::uint64_t attempt, time_point now);
  /// Takes out the attempts that completed.
  std::vector<std::uint64_t> take_completed(time_point now);
  [[nodiscard]] std::optional<time_point> next_completion() const;
  /// Loses all attempts and the cache; returns the attempts.
  std::vector<std::uint64_t> crash(time_point now);

  void set_speed(double factor, time_point now);
  void set_alive(bool alive) { alive_ = alive; }
  [[nodiscard]] bool alive() const { return alive_; }
  /// Takes the figures that `published_load` shows until the next call.
  void publish_load(time_point now);
  [[nodiscard]] const routing::load_report& published_load() const { return published_; }
  [[nodiscard]] double utilisation() const;
  /// Cache events after a sequence number that are old enough to be seen.
  void events_after(std::uint64_t& sequence, time_point seen_until,
                    std::vector<routing::cache_event>& out) const;

  [[nodiscard]] const routing::endpoint& description() const { return description_; }
  [[nodiscard]] std::uint64_t blocks() const { return blocks_; }
  [[nodiscard]] std::uint64_t block_hits() const { return block_hits_; }
  /// Counts changes of the set of running attempts; a planned completion is valid only with it.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
  struct running_job {
    double start = 0;
    double finish = 0;
    double prefill = 0;
    double straggle = 1;
    int tokens = 0;
  };
  void advance(time_point now);
  [[nodiscard]] double rate() const;
  void fill_slots();
  void start(const job& it);
  [[nodiscard]] int use_cache(const job& it);
  void publish_event(bool stored, routing::prefix_hash prefix);
  [[nodiscard]] int tokens_of(const running_job& it) const;

  routing::endpoint description_;
  endpoint_model model_;
  random_engine random_;
  bool alive_ = true;
  double speed_ = 1;
  time_point at_{};
  /// Work that each running request has received since the beginning.
  double received_ = 0;
  std::uint64_t generation_ = 0;
  std::unordered_map<std::uint64_t, running_job> running_;
  std::set<std::pair<double, std::uint64_t>> by_finish_;
  /// By priority, highest first, then in order of arrival.
  std::map<int, std::deque<job>, std::greater<>> waiting_;
  std::size_t waiting_count_ = 0;
  routing::load_report published_;
  std::list<routing::prefix_hash> cache_ages_;
  std::unordered_map<routing::prefix_hash, std::list<routing::prefix_hash>::iterator> cache_;
  std::deque<std::pair<time_point, routing::cache_event>> events_;
  std::uint64_t next_event_ = 1;
  std::uint64_t blocks_ = 0;
  std::uint64_t block_hits_ = 0;
};

} // namespace boragedoor::bench
