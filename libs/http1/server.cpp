#include "http1/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

#include <event2/listener.h>
#include <fmt/format.h>

namespace boragedoor::http1 {

namespace {

/// Connections that the system may queue before they are accepted. A dropped opening packet costs
/// the caller a second.
constexpr int listen_backlog = 512;

} // namespace

server::server(net::event_loop& loop, handler on_request, refusal on_refusal,
               std::shared_ptr<byte_budget> budget)
    : loop_(loop) {
  shared_->budget = budget ? std::move(budget) : byte_budget::create(loop);
  shared_->handler = std::move(on_request);
  shared_->refuse = std::move(on_refusal);
  shared_->on_closed = [this](server_connection& it) {
    // The connection may be in the middle of a callback of its own.
    const auto found = connections_.find(&it);
    if (found != connections_.end()) {
      loop_.post([keep = std::move(found->second)] {});
      connections_.erase(found);
    }
  };
}

server::~server() {
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
  const auto all = connections_;
  for (const auto& [key, it] : all) {
    it->close();
  }
  // Requests without a response close their connection again when they are dropped.
  shared_->on_closed = [](server_connection&) {};
}

result<std::unique_ptr<server>> server::listen(net::event_loop& loop, const net::address& at,
                                               handler on_request, refusal on_refusal,
                                               std::shared_ptr<byte_budget> budget) {
  std::unique_ptr<server> it(
      new server(loop, std::move(on_request), std::move(on_refusal), std::move(budget)));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(at.port);
  if (inet_pton(AF_INET, at.host.c_str(), &name.sin_addr) != 1) {
    return error{error_code::invalid_argument, fmt::format("{} is not an IPv4 address", at.host)};
  }
  it->listener_ = evconnlistener_new_bind(loop.native(), &server::on_accept, it.get(),
                                          LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, listen_backlog,
                                          reinterpret_cast<sockaddr*>(&name), sizeof name);
  if (it->listener_ == nullptr) {
    return error{error_code::io, fmt::format("cannot listen on {}", net::to_string(at))};
  }
  socklen_t size = sizeof name;
  getsockname(evconnlistener_get_fd(it->listener_), reinterpret_cast<sockaddr*>(&name), &size);
  it->local_ = {at.host, ntohs(name.sin_port)};
  return it;
}

void server::on_accept(evconnlistener* /*from*/, evutil_socket_t fd, sockaddr* peer, int /*size*/,
                       void* self) {
  auto& it = *static_cast<server*>(self);
  char host[INET_ADDRSTRLEN] = "";
  const auto& name = *reinterpret_cast<const sockaddr_in*>(peer);
  inet_ntop(AF_INET, &name.sin_addr, host, sizeof host);
  std::string peer_address = fmt::format("{}:{}", host, ntohs(name.sin_port));
  if (it.connections_.size() >= it.max_connections_ && !it.close_longest_idle()) {
    evutil_closesocket(fd);
    it.closed_at_limit.emit(peer_address, false);
    return;
  }
  constexpr int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto connection =
      std::make_shared<server_connection>(it.loop_, it.shared_, fd, std::move(peer_address));
  it.connections_.emplace(connection.get(), connection);
}

bool server::close_longest_idle() {
  std::shared_ptr<server_connection> longest;
  for (const auto& [key, it] : connections_) {
    if (it->is_idle() && (!longest || it->idle_since() < longest->idle_since())) {
      longest = it;
    }
  }
  if (!longest) {
    return false;
  }
  closed_at_limit.emit(longest->peer(), true);
  longest->close();
  return true;
}

void server::drain() {
  shared_->draining = true;
}

void server::close_idle() {
  std::vector<std::shared_ptr<server_connection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, it] : connections_) {
    all.push_back(it);
  }
  for (const auto& it : all) {
    it->close_if_idle();
  }
}

std::size_t server::busy_connections() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& it) { return it.second->is_busy(); }));
}

bool server::has_output() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& it) { return it.second->has_output(); });
}

std::vector<std::shared_ptr<exchange>> server::unanswered() const {
  std::vector<std::shared_ptr<exchange>> list;
  for (const auto& [key, it] : connections_) {
    if (auto open = it->open_exchange(); open && open->is_open() && !open->has_started()) {
      list.push_back(std::move(open));
    }
  }
  return list;
}

} // namespace boragedoor::http1
