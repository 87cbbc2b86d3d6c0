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

/// What the stand-in does with calls that arrive on one of its addresses.
enum class store_fault {
  none,
  /// 503: nothing is done.
  refuse,
  /// No answer, and nothing is done.
  silent,
  /// Writes are done, but not answered.
  lose_answers,
};

/// The platform's metadata store, kept in memory and spoken to as the platform's pages say. It has
/// two doors: instances can be served through one and not through the other.
class store_stand_in {
public:
  explicit store_stand_in(net::event_loop& loop);
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;
  store_stand_in(store_stand_in&&) = delete;
  store_stand_in& operator=(store_stand_in&&) = delete;

  [[nodiscard]] const net::address& address() const { return doors_[0].server->local_address(); }
  [[nodiscard]] const net::address& second_address() const {
    return doors_[1].server->local_address();
  }

  /// Faults of the first and the second door.
  void set_fault(store_fault fault, std::size_t door = 0);
  /// Drops the history, so that watches have to list again.
  void compact() { oldest_ = revision_; }

  /// What an operator, a trainer or a replica writes.
  void put(const std::string& key, const json& value);
  void erase(const std::string& key);
  [[nodiscard]] bool has(const std::string& key) const { return items_.contains(key); }
  /// Keys that begin with a prefix.
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
    time_point ends{};
  };
  struct watcher {
    std::shared_ptr<http1::exchange> from;
    std::string prefix;
    std::uint64_t after = 0;
    time_point until{};
  };
  struct door {
    std::unique_ptr<http1::server> server;
    store_fault fault = store_fault::none;
    /// Exchanges that are never answered.
    std::vector<std::shared_ptr<http1::exchange>> silent;
  };

  void on_call(std::size_t door, const std::shared_ptr<http1::exchange>& from);
  http1::response answer(const http1::request& asked);
  http1::response commit(const json& change);
  http1::response list(std::string_view target);
  bool watch(const std::shared_ptr<http1::exchange>& from);
  void write(const std::string& key, std::string value, std::uint64_t lease);
  void remove(const std::string& key);
  void tick();
  void wake_watchers();
  [[nodiscard]] json events_since(std::string_view prefix, std::uint64_t after) const;
  static json to_json(const std::string& key, const item& it);

  net::event_loop& loop_;
  door doors_[2];
  std::map<std::string, item> items_;
  std::vector<event> history_;
  std::map<std::uint64_t, lease> leases_;
  std::list<watcher> watchers_;
  std::map<std::string, int> calls_;
  std::uint64_t revision_ = 10;
  std::uint64_t oldest_ = 0;
  std::uint64_t last_lease_ = 100;
  net::timer timer_;
};

} // namespace boragedoor::platform
