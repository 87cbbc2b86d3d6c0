#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "http1/server.h"
#include "net/event_loop.h"

namespace boragedoor::platform {

/// Fault that a listener of the store injects into its calls.
enum class store_fault {
  none,
  /// Answers 503 and executes nothing.
  refuse,
  /// Sends no response and executes nothing.
  silent,
  /// Executes writes but sends no response to them.
  lose_answers,
};

/// In-memory test double of the platform's metadata store, after the platform's documentation. It
/// has two listeners, so that a fault can affect some instances and not others.
class store_stand_in {
public:
  explicit store_stand_in(net::event_loop& loop);
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;
  store_stand_in(store_stand_in&&) = delete;
  store_stand_in& operator=(store_stand_in&&) = delete;

  [[nodiscard]] const net::address& address() const {
    return listeners_[0].server->local_address();
  }
  [[nodiscard]] const net::address& second_address() const {
    return listeners_[1].server->local_address();
  }

  /// Sets the fault of the first or the second listener.
  void set_fault(store_fault fault, std::size_t listener = 0);
  /// Sets the largest body of a call, in bytes; 4 MiB unless it is set.
  void set_body_limit(std::size_t bytes);
  /// Discards the history, so that watches from an older revision have to list again.
  void compact() { compacted_revision_ = revision_; }

  /// Write as an operator, a trainer or a replica does, without a call.
  void put(const std::string& key, const json& value);
  /// Writes bytes as they are, as an instance of another release does.
  void put_bytes(const std::string& key, std::string value);
  void erase(const std::string& key);
  [[nodiscard]] bool has(const std::string& key) const { return items_.contains(key); }
  /// Returns the keys with this prefix.
  [[nodiscard]] std::vector<std::string> keys(std::string_view prefix) const;
  [[nodiscard]] int calls(const std::string& name) const;

private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct event {
    std::string key;
    bool removed = false;
    item it;
  };
  struct lease {
    duration ttl{};
    time_point expires_at{};
  };
  struct watcher {
    std::shared_ptr<http1::exchange> exchange;
    std::string prefix;
    std::uint64_t after = 0;
    time_point deadline{};
  };
  struct listener {
    std::unique_ptr<http1::server> server;
    store_fault fault = store_fault::none;
    /// Exchanges that get no response.
    std::vector<std::shared_ptr<http1::exchange>> silent;
  };

  void on_call(std::size_t listener, const std::shared_ptr<http1::exchange>& exchange);
  http1::response handle_request(const http1::request& request);
  http1::response commit(const json& change);
  http1::response list(std::string_view target);
  bool watch(const std::shared_ptr<http1::exchange>& exchange);
  void write(const std::string& key, std::string value, std::uint64_t lease);
  void remove(const std::string& key);
  void tick();
  void notify_watchers();
  [[nodiscard]] json events_since(std::string_view prefix, std::uint64_t after) const;
  static json to_json(const std::string& key, const item& it);

  net::event_loop& loop_;
  listener listeners_[2];
  std::map<std::string, item> items_;
  std::vector<event> history_;
  std::map<std::uint64_t, lease> leases_;
  std::list<watcher> watchers_;
  std::map<std::string, int> calls_;
  std::uint64_t revision_ = 10;
  std::uint64_t compacted_revision_ = 0;
  std::uint64_t last_lease_ = 100;
  net::timer timer_;
};

} // namespace boragedoor::platform
