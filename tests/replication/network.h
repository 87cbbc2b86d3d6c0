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
#include "replication/spread.h"

namespace boragedoor::replication {

/// Instances spread evenly over data centres and regions.
std::vector<member> make_fleet(std::size_t instances, std::size_t data_centres,
                               std::size_t regions);

/// A document that lists the key ids, one a line; enough for `is_listed`.
std::string make_document(std::uint64_t revision, const std::set<std::string>& keys);
bool lists_key(std::string_view document, std::string_view key_id);

/// A fleet, the store's head and the links between them in virtual time. Every message passes
/// through the codec.
class network {
public:
  struct node {
    member who;
    std::unique_ptr<spread> state;
    duration paused_until{};
    /// Keys that this process once refused because of a withdrawal, or that its configuration
    /// dropped.
    std::set<std::string> refused;
    std::uint64_t highest = 0;
    std::size_t bytes_sent = 0;
  };

  network(std::vector<member> fleet, std::uint64_t seed);

  void run(duration length);
  void at(duration delay, std::function<void()> run);
  /// Reads the store's head on this node now, if the store answers it.
  void read_store(std::size_t n);
  /// Replaces the process; what its memory held is gone.
  void restart(std::size_t n);
  void withdraw(std::size_t n, const std::string& key_id);
  /// Stores a new head; instances learn it by `read_store`.
  void propose(const std::set<std::string>& keys);
  bool flip(double probability);

  std::vector<node> nodes;
  std::optional<configuration_version> head;
  bool is_store_up = true;
  double loss = 0;
  double duplication = 0;
  /// Messages and store answers to and from this region are lost.
  std::string cut_region;
  /// Interval at which nodes read the store's head; none when zero.
  duration poll{};
  /// Checks that failed.
  int reverts = 0;
  int comebacks = 0;
  std::size_t messages = 0;
  std::size_t largest_heartbeat = 0;
  std::vector<std::string> withdrawn;

  [[nodiscard]] time_point now() const { return time_point(seconds(1000)) + now_; }
  [[nodiscard]] bool is_valid(const node& it, const std::string& key_id) const;

private:
  void deliver(std::size_t to, duration delay, std::function<void()> run);
  void tick(std::size_t n, const spread* process);
  void carry_out(std::size_t from, const std::vector<spread_action>& actions);
  void send(std::size_t from, std::size_t to, const message& it);
  void check(node& it);
  duration delay(const member& a, const member& b);

  random_engine random_;
  duration now_{};
  std::uint64_t order_ = 0;
  int boots_ = 0;
  std::vector<member> fleet_;
  std::map<std::string, std::size_t, std::less<>> index_;
  std::map<std::pair<duration, std::uint64_t>, std::function<void()>> queue_;
};

} // namespace boragedoor::replication
