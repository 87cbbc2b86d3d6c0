#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http1/server.h"
#include "net/event_loop.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

/// A replica of a service as the platform's pages have it: it answers plain calls, streams texts,
/// takes orders and registers itself in the store.
class replica_stand_in {
public:
  struct options {
    std::string id;
    std::string service;
    std::string zone = "z1";
    /// Empty for a plain service.
    std::string model{};
    std::uint64_t version = 1;
    int slots = 4;
    /// Events of each text and the time between them.
    int events = 3;
    duration interval = milliseconds(5);
  };

  replica_stand_in(net::event_loop& loop, store_stand_in& store, options it);
  ~replica_stand_in();
  replica_stand_in(const replica_stand_in&) = delete;
  replica_stand_in& operator=(const replica_stand_in&) = delete;
  replica_stand_in(replica_stand_in&&) = delete;
  replica_stand_in& operator=(replica_stand_in&&) = delete;

  /// Writes the entry of the registry.
  void announce(const std::string& state = "ready");
  /// Ends without a word: connections are reset and the entry stays.
  void crash();

  /// Requests that ran here, by their ids, in order.
  std::vector<std::string> ran;
  /// The last request as it arrived.
  http1::request last;
  /// Answers all with 503 and says that nothing ran.
  bool full = false;
  /// Answers nothing.
  bool silent = false;
  /// Leaves the signature out.
  bool unsigned_answers = false;
  [[nodiscard]] std::uint64_t version() const { return it_.version; }
  [[nodiscard]] int open() const { return static_cast<int>(open_.size()); }

private:
  struct run {
    std::shared_ptr<http1::exchange> from;
    int next = 1;
  };
  void on_call(const std::shared_ptr<http1::exchange>& from);
  void start_text(const std::shared_ptr<http1::exchange>& from);
  void on_order(const std::shared_ptr<http1::exchange>& from);
  void tick();

  net::event_loop& loop_;
  store_stand_in& store_;
  options it_;
  net::address address_;
  std::unique_ptr<http1::server> server_;
  std::deque<run> open_;
  std::vector<std::shared_ptr<http1::exchange>> held_;
  std::uint64_t orders_ = 0;
  std::uint64_t fence_ = 0;
  net::timer timer_;
};

} // namespace boragedoor::platform
