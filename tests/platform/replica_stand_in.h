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

/// Test double of a service replica, after the platform's documentation: it answers plain calls,
/// streams completions, accepts load orders and registers itself in the store.
class replica_stand_in {
public:
  struct options {
    std::string id;
    std::string service;
    std::string zone = "z1";
    /// Model that the replica serves; empty for a plain service.
    std::string model{};
    std::uint64_t version = 1;
    /// Version of the software. Events of versions other than "v1" name it.
    std::string software = "v1";
    int slots = 4;
    /// Number of events in each stream and the time between them.
    int events = 3;
    duration interval = milliseconds(5);
    /// Largest body of a request, in bytes.
    std::size_t body_bytes = 1024UL * 1024;
  };

  replica_stand_in(net::event_loop& loop, store_stand_in& store, options config);
  ~replica_stand_in();
  replica_stand_in(const replica_stand_in&) = delete;
  replica_stand_in& operator=(const replica_stand_in&) = delete;
  replica_stand_in(replica_stand_in&&) = delete;
  replica_stand_in& operator=(replica_stand_in&&) = delete;

  /// Writes the replica's registry entry to the store.
  void announce(const std::string& state = "ready");
  /// Resets all connections and leaves the registry entry, as a killed process does.
  void crash();
  /// Crashes and, a moment later, starts a new process with another id at the same address.
  void crash_and_restart();
  /// Starts a new process with the same id at the same address, and with another version of the
  /// software if `software` is given.
  void restart_with_same_id(const std::string& software = {});

  /// Attempt ids of the executed requests, in order.
  std::vector<std::string> executed_ids;
  /// Attempt ids of the executed requests that continued a stream.
  std::vector<std::string> continued_ids;
  /// The last request that was received.
  http1::request last;
  /// Requests a second that its answers state as the limit, as text; empty for none.
  std::string limit;
  /// Answers every request with 503 and `Not-Executed`.
  bool full = false;
  /// States in each response that the replica leaves.
  bool leaving = false;
  /// Number of requests, executed or not.
  std::size_t received = 0;
  /// Leaves requests without a response.
  bool silent = false;
  /// Time that a request of a plain service takes.
  duration work{};
  /// Bytes of the response of a plain service; 0 for a short text.
  std::size_t answer_size = 0;
  /// Crashes when it begins to execute a request with this target, and starts again a moment later
  /// if `restarts` is set.
  std::string crashing_target;
  bool restarts = true;
  /// States in reports when the process started.
  bool reports_start = true;
  /// Status of the responses of a plain service.
  int status = 200;
  /// Omits the signature from responses of a plain service.
  bool omit_signature = false;
  [[nodiscard]] std::uint64_t version() const { return options_.version; }
  [[nodiscard]] const std::string& id() const { return options_.id; }
  [[nodiscard]] bool is_running() const { return server_ != nullptr; }
  [[nodiscard]] int open() const { return static_cast<int>(open_runs_.size()); }

private:
  struct run {
    std::shared_ptr<http1::exchange> exchange;
    int next = 1;
  };
  void on_call(const std::shared_ptr<http1::exchange>& exchange);
  void answer(const std::shared_ptr<http1::exchange>& exchange);
  void start_stream(const std::shared_ptr<http1::exchange>& exchange);
  void on_order(const std::shared_ptr<http1::exchange>& exchange);
  /// Adds the headers about the replica's state.
  [[nodiscard]] net::headers with_state(net::headers list) const;
  void tick();
  void listen(const net::address& at);
  void restart();

  net::event_loop& loop_;
  store_stand_in& store_;
  options options_;
  int restarts_ = 0;
  net::address address_;
  std::unique_ptr<http1::server> server_;
  std::deque<run> open_runs_;
  std::vector<std::shared_ptr<http1::exchange>> unanswered_;
  std::uint64_t accepted_orders_ = 0;
  std::uint64_t last_fencing_token_ = 0;
  net::timer timer_;
  net::timer restart_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::platform
