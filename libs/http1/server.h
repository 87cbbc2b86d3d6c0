#pragma once

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <sigc++/signal.h>

#include "base/result.h"
#include "http1/exchange.h"
#include "http1/server_connection.h"
#include "net/event_loop.h"

struct evconnlistener;

namespace boragedoor::http1 {

/// HTTP/1.1 server on one address.
class server {
public:
  using handler = std::function<void(std::shared_ptr<exchange>)>;
  using refusal = std::function<response(int status, std::string_view message)>;

  /// Listens on `at`; port 0 takes any free port. Fails with `io` when the address is in use.
  /// `budget` limits what all connections hold; without one nothing does.
  static result<std::unique_ptr<server>> listen(net::event_loop& loop, const net::address& at,
                                                handler on_request, refusal on_refusal,
                                                std::shared_ptr<byte_budget> budget = nullptr);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  server(server&&) = delete;
  server& operator=(server&&) = delete;

  [[nodiscard]] const net::address& local_address() const { return local_; }
  /// Limits of connections from now on; open ones follow at their next step.
  void set_limits(const server_limits& limits) { shared_->limits = limits; }
  /// Most connections at one time. At the limit the one that has been idle for longest is closed
  /// for a new one; if all are in use, the new one is closed before anything of it is read.
  void set_max_connections(std::size_t connections) { max_connections_ = connections; }
  /// Emitted for each connection that is closed at the limit, with its peer's address and whether
  /// it was idle.
  sigc::signal<void(const std::string& peer, bool idle)> closed_at_limit;
  /// Announces the end of each connection in its next response.
  void drain();
  /// Closes idle connections; those with a request in progress stay.
  void close_idle();
  /// Connections with a request that is being received or answered, or whose response is not sent
  /// yet.
  [[nodiscard]] std::size_t busy_connections() const;
  /// Whether part of a response is not sent yet.
  [[nodiscard]] bool has_output() const;
  /// Requests whose response has not been started.
  [[nodiscard]] std::vector<std::shared_ptr<exchange>> unanswered() const;

private:
  server(net::event_loop& loop, handler on_request, refusal on_refusal,
         std::shared_ptr<byte_budget> budget);
  static void on_accept(evconnlistener* from, evutil_socket_t fd, struct sockaddr* peer, int size,
                        void* self);

  /// Closes the connection that has been idle for longest. Returns false if none is idle.
  bool close_longest_idle();

  net::event_loop& loop_;
  std::shared_ptr<server_shared> shared_ = std::make_shared<server_shared>();
  evconnlistener* listener_ = nullptr;
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
  net::address local_;
  std::unordered_map<server_connection*, std::shared_ptr<server_connection>> connections_;
};

} // namespace boragedoor::http1
