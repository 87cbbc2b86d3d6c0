#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "http1/call.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"

namespace boragedoor::http1 {

/// HTTP/1.1 client that keeps idle connections for reuse. It never repeats a request.
class client {
public:
  /// Idle connections that a client keeps by default. An instance may have 4,096 descriptors, and
  /// the runs of its jobs need most of them.
  static constexpr std::size_t default_max_idle = 1024;

  /// `budget` limits what all connections hold; without one nothing does.
  explicit client(net::event_loop& loop, std::shared_ptr<byte_budget> budget = nullptr,
                  std::size_t max_idle = default_max_idle);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  client(client&&) = delete;
  client& operator=(client&&) = delete;

  /// Starts a call. Callbacks come from the loop, never before `send` returns.
  std::shared_ptr<call> send(call_spec spec, call_callbacks callbacks);

  /// Opens a connection to a target and closes it without a request. Passes to `done` whether it
  /// was established within `timeout`.
  void probe(const net::address& target, duration timeout,
             std::function<void(bool connected)> done);

  /// Closes the idle connections to a target, for example after one of them went silent.
  void drop_idle(const net::address& target);

  /// Connections made since the start.
  [[nodiscard]] std::uint64_t connections_made() const { return made_; }

private:
  /// Returns the connection that became idle last and may carry a call with this response id.
  std::shared_ptr<client_connection> take_idle(const net::address& target,
                                               std::string_view response_id);

  net::event_loop& loop_;
  client_connection::owner pool_;
  std::shared_ptr<byte_budget> budget_;
  std::unordered_map<client_connection*, std::shared_ptr<client_connection>> open_;
  std::map<net::address, std::vector<std::shared_ptr<client_connection>>> idle_;
  std::size_t max_idle_;
  std::size_t idle_count_ = 0;
  std::uint64_t made_ = 0;
};

} // namespace boragedoor::http1
