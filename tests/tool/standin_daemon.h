#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace boragedoor::testing {

/// A daemon that gives prepared replies on its own thread, and records what it was asked.
class standin_daemon {
public:
  using handler = std::function<void(net::http_exchange&)>;

  explicit standin_daemon(handler reply) : reply_(std::move(reply)) {
    std::atomic<bool> ready = false;
    thread_ = std::thread([this, &ready] { serve(ready); });
    while (!ready) {
      std::this_thread::yield();
    }
  }

  ~standin_daemon() {
    stopped_ = true;
    thread_.join();
  }
  standin_daemon(const standin_daemon&) = delete;
  standin_daemon& operator=(const standin_daemon&) = delete;
  standin_daemon(standin_daemon&&) = delete;
  standin_daemon& operator=(standin_daemon&&) = delete;

  [[nodiscard]] std::string target() const { return to_string(at_); }

  /// "METHOD path" of the requests so far.
  std::vector<std::string> lines() {
    const std::scoped_lock lock(mutex_);
    std::vector<std::string> list;
    for (const auto& it : requests_) {
      list.push_back(it.method + ' ' + it.path);
    }
    return list;
  }

  std::vector<net::http_request> requests() {
    const std::scoped_lock lock(mutex_);
    return requests_;
  }

private:
  void serve(std::atomic<bool>& ready) {
    auto loop = net::event_loop::create().value();
    auto server = net::http_server::listen(*loop, {"127.0.0.1", 0}, {},
                                           [this](const std::shared_ptr<net::http_exchange>& it) {
                                             {
                                               const std::scoped_lock lock(mutex_);
                                               requests_.push_back(it->request());
                                             }
                                             reply_(*it);
                                           })
                      .value();
    at_ = server->local_address();
    // The loop looks at `stopped_` whenever it wakes up.
    net::timer wake(*loop, [] {});
    wake.start_periodic(milliseconds(5));
    ready = true;
    constexpr auto longest_test = std::chrono::minutes(1);
    loop->run_until([this] { return stopped_.load(); }, longest_test);
  }

  handler reply_;
  net::address at_;
  std::mutex mutex_;
  std::vector<net::http_request> requests_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

} // namespace boragedoor::testing
