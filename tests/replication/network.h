#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "replication/replicator.h"

namespace boragedoor::replication {

/// Returns instances distributed evenly over data centres and regions.
std::vector<member> make_fleet(std::size_t instances, std::size_t data_centres,
                               std::size_t regions);

/// Returns a document that lists the key ids, one per line, as `lists_key` expects.
std::string make_document(std::uint64_t revision, const std::set<std::string>& keys);
bool lists_key(std::string_view document, std::string_view key_id);

/// Simulates instances, the store's head and the network between them in virtual time. Every
/// message is encoded and decoded.
class network {
public:
  struct node {
    member info;
    std::unique_ptr<replicator> state;
    duration paused_until{};
    /// Keys that this process has rejected because of a withdrawal.
    std::set<std::string> rejected_keys;
    std::uint64_t highest_revision = 0;
    std::size_t bytes_sent = 0;
  };

  network(std::vector<member> fleet, std::uint64_t seed);

  void run(duration length);
  void schedule(duration delay, std::function<void()> run);
  /// Reads the store's head on this node now, if the store is reachable from it.
  void read_store(std::size_t n);
  /// Replaces the process, which loses all in-memory state.
  void restart(std::size_t n);
  void withdraw(std::size_t n, const std::string& key_id);
  /// Stores a new head, which instances receive by `read_store`.
  void propose(const std::set<std::string>& keys);
  bool with_probability(double probability);

  std::vector<node> nodes;
  std::optional<configuration_version> head;
  bool is_store_up = true;
  double loss = 0;
  double duplication = 0;
  /// Messages between this region and others, and its store reads, are lost.
  std::string partitioned_region;
  /// Interval at which nodes read the store's head; 0 disables polling.
  duration store_poll_interval{};
  /// Violations: decreases of a node's revision, and withdrawn keys that a node accepted again.
  int revision_decreases = 0;
  int reaccepted_withdrawals = 0;
  std::size_t messages = 0;
  std::size_t largest_heartbeat = 0;
  std::vector<std::string> withdrawn;

  [[nodiscard]] time_point now() const { return time_point(seconds(1000)) + now_; }
  [[nodiscard]] bool is_valid(const node& observer, const std::string& key_id) const;

private:
  void run_on_node(std::size_t to, duration delay, std::function<void()> run);
  void tick(std::size_t n, const replicator* process);
  void execute(std::size_t from, const std::vector<replication_action>& actions);
  void send(std::size_t from, std::size_t to, const message& sent_message);
  void check_invariants(node& checked_node);
  duration delay(const member& a, const member& b);

  random_engine random_;
  duration now_{};
  std::uint64_t event_sequence_ = 0;
  int boot_count_ = 0;
  std::vector<member> fleet_;
  std::map<std::string, std::size_t, std::less<>> index_;
  std::map<std::pair<duration, std::uint64_t>, std::function<void()>> queue_;
};

} // namespace boragedoor::replication
