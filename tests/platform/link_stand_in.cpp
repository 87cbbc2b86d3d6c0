#include "link_stand_in.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "loopback_address.h"

namespace boragedoor::platform {

namespace {

/// Connections that fill a queue of length zero, and some more.
constexpr int filling_connections = 8;

sockaddr_in to_sockaddr(const net::address& at) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(at.port);
  inet_pton(AF_INET, at.host.c_str(), &name.sin_addr);
  return name;
}

evutil_socket_t new_socket() {
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  REQUIRE(fd >= 0);
  return fd;
}

} // namespace

link_stand_in::link_stand_in(net::event_loop& loop, net::address target)
    : loop_(loop), target_(std::move(target)), address_(own_loopback_address()) {
  listen();
}

link_stand_in::~link_stand_in() {
  stop_listening();
  while (!connections_.empty()) {
    close(connections_.front(), false);
  }
}

void link_stand_in::listen() {
  listener_ = new_socket();
  constexpr int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name = to_sockaddr(address_);
  socklen_t size = sizeof name;
  REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&name), size) == 0);
  const int queue = state_ == link_state::hanging ? 0 : 128;
  REQUIRE(::listen(listener_, queue) == 0);
  REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size) == 0);
  address_.port = ntohs(name.sin_port);
  if (state_ == link_state::open) {
    accept_event_ =
        event_new(loop_.native(), listener_, EV_READ | EV_PERSIST, &link_stand_in::on_accept, this);
    event_add(accept_event_, nullptr);
  }
}

void link_stand_in::stop_listening() {
  if (accept_event_ != nullptr) {
    event_free(std::exchange(accept_event_, nullptr));
  }
  if (listener_ >= 0) {
    evutil_closesocket(std::exchange(listener_, -1));
  }
  for (const evutil_socket_t fd : std::exchange(fillers_, {})) {
    evutil_closesocket(fd);
  }
}

void link_stand_in::fill_queue() {
  const sockaddr_in name = to_sockaddr(address_);
  for (int n = 0; n < filling_connections; ++n) {
    fillers_.push_back(new_socket());
    // Does not wait: the connections that do not fit stay unanswered.
    (void)connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&name), sizeof name);
  }
}

void link_stand_in::set_state(link_state state) {
  state_ = state;
  stop_listening();
  switch (state) {
  case link_state::open:
    listen();
    break;
  case link_state::refusing:
    break;
  case link_state::resetting:
    while (!connections_.empty()) {
      close(connections_.front(), true);
    }
    break;
  case link_state::hanging:
    listen();
    fill_queue();
    break;
  }
  if (state == link_state::open) {
    pass_held_bytes();
  }
}

void link_stand_in::silence_open_connections() {
  for (connection& it : connections_) {
    it.is_silent = true;
  }
}

void link_stand_in::pass_held_bytes() {
  std::vector<connection*> closed;
  for (connection& it : connections_) {
    on_read(it.near, &it);
    on_read(it.far, &it);
    if (it.is_closed_by_near) {
      closed.push_back(&it);
    }
  }
  for (connection* it : closed) {
    // The bufferevent would drop what it has not written.
    evbuffer* output = bufferevent_get_output(it->far);
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(it->far));
    close(*it, it->is_reset_by_near);
  }
}

void link_stand_in::on_accept(evutil_socket_t fd, short /*what*/, void* self) {
  auto* it = static_cast<link_stand_in*>(self);
  const evutil_socket_t accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK);
  if (accepted < 0) {
    return;
  }
  connection& pair = it->connections_.emplace_back();
  pair.owner = it;
  pair.near = bufferevent_socket_new(it->loop_.native(), accepted, BEV_OPT_CLOSE_ON_FREE);
  pair.far = bufferevent_socket_new(it->loop_.native(), -1, BEV_OPT_CLOSE_ON_FREE);
  for (bufferevent* end : {pair.near, pair.far}) {
    bufferevent_setcb(end, &link_stand_in::on_read, nullptr, &link_stand_in::on_event, &pair);
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }
  const sockaddr_in name = to_sockaddr(it->target_);
  bufferevent_socket_connect(pair.far, reinterpret_cast<const sockaddr*>(&name), sizeof name);
}

void link_stand_in::on_read(bufferevent* from, void* pair) {
  auto* it = static_cast<connection*>(pair);
  if (it->owner->state_ != link_state::hanging && !it->is_silent) {
    bufferevent_write_buffer(from == it->near ? it->far : it->near, bufferevent_get_input(from));
  }
}

void link_stand_in::on_event(bufferevent* from, short what, void* pair) {
  auto* it = static_cast<connection*>(pair);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    const bool is_reset = (what & BEV_EVENT_ERROR) != 0;
    if (it->owner->state_ == link_state::hanging && from == it->near) {
      it->is_closed_by_near = true;
      it->is_reset_by_near = is_reset;
      if (is_reset) {
        evbuffer* held = bufferevent_get_input(from);
        evbuffer_drain(held, evbuffer_get_length(held));
      }
      return;
    }
    on_read(from, pair);
    it->owner->close(*it, is_reset);
  }
}

void link_stand_in::close(connection& it, bool reset) {
  for (bufferevent* end : {it.near, it.far}) {
    if (reset && bufferevent_getfd(end) >= 0) {
      const linger at_once{.l_onoff = 1, .l_linger = 0};
      setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    } else {
      bufferevent_flush(end, EV_WRITE, BEV_FINISHED);
    }
    bufferevent_free(end);
  }
  connections_.remove_if([&](const connection& other) { return &other == &it; });
}

} // namespace boragedoor::platform
