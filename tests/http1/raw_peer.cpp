#include "raw_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

namespace boragedoor::http1 {

namespace {

sockaddr_in to_name(const net::address& at) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(at.port);
  inet_pton(AF_INET, at.host.c_str(), &name.sin_addr);
  return name;
}

void on_read(bufferevent* bev, void* self) {
  auto& it = *static_cast<raw_connection*>(self);
  evbuffer* input = bufferevent_get_input(bev);
  std::string data(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, data.data(), data.size());
  it.received += data;
  if (it.on_data) {
    it.on_data(it);
  }
}

void on_event(bufferevent* /*bev*/, short what, void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    auto& it = *static_cast<raw_connection*>(self);
    it.closed_by_peer = true;
    it.reset_by_peer = (what & BEV_EVENT_ERROR) != 0;
  }
}

} // namespace

raw_connection::raw_connection(bufferevent* bev) : bev_(bev) {
  bufferevent_setcb(bev_, &on_read, nullptr, &on_event, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

raw_connection::~raw_connection() {
  bufferevent_free(bev_);
}

void raw_connection::send(std::string_view bytes) {
  bufferevent_write(bev_, bytes.data(), bytes.size());
}

std::size_t raw_connection::unsent() const {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

std::size_t raw_connection::unread() const {
  int bytes = 0;
  ::ioctl(bufferevent_getfd(bev_), FIONREAD, &bytes);
  return static_cast<std::size_t>(bytes);
}

void raw_connection::set_reading(bool on) {
  if (on) {
    bufferevent_enable(bev_, EV_READ);
  } else {
    bufferevent_disable(bev_, EV_READ);
  }
}

void raw_connection::write_now() {
  // The bufferevent keeps its output to itself until it is thawed.
  evbuffer* output = bufferevent_get_output(bev_);
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(bev_));
  evbuffer_freeze(output, 1);
}

void raw_connection::close() {
  // Straight to the socket, so that the end follows what was sent.
  write_now();
  ::shutdown(bufferevent_getfd(bev_), SHUT_WR);
}

void raw_connection::reset() {
  write_now();
  const linger now{1, 0};
  setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  const int fd = bufferevent_getfd(bev_);
  bufferevent_setfd(bev_, -1);
  evutil_closesocket(fd);
}

std::unique_ptr<raw_connection> connect_raw(net::event_loop& loop, const net::address& to) {
  bufferevent* bev = bufferevent_socket_new(loop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto it = std::make_unique<raw_connection>(bev);
  sockaddr_in name = to_name(to);
  bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&name), sizeof name);
  return it;
}

raw_server::raw_server(net::event_loop& loop, std::function<void(raw_connection&)> on_data)
    : loop_(loop), on_data_(std::move(on_data)) {
  sockaddr_in name = to_name({"127.0.0.1", 0});
  const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto& it = *static_cast<raw_server*>(self);
    it.connections.push_back(std::make_unique<raw_connection>(
        bufferevent_socket_new(it.loop_.native(), fd, BEV_OPT_CLOSE_ON_FREE)));
    it.connections.back()->on_data = it.on_data_;
  };
  listener_ = evconnlistener_new_bind(loop.native(), accept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
                                      reinterpret_cast<sockaddr*>(&name), sizeof name);
  socklen_t size = sizeof name;
  getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&name), &size);
  local_ = {"127.0.0.1", ntohs(name.sin_port)};
}

raw_server::~raw_server() {
  evconnlistener_free(listener_);
}

} // namespace boragedoor::http1
