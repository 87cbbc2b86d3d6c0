#pragma once

#include <list>
#include <memory>
#include <vector>

#include <event2/util.h>

#include "net/event_loop.h"
#include "net/http_types.h"

struct bufferevent;
struct event;

namespace boragedoor::platform {

/// State of a link.
enum class link_state {
  open,
  /// Connections are refused; those that are open go on.
  refusing,
  /// Connections are refused, and those that are open were reset.
  resetting,
  /// Connections get no answer, and nothing passes on those that are open. What an instance has
  /// sent on one arrives when the link is open again, also if the instance has closed it meanwhile.
  /// A reset takes it back, and the replica learns of it only then.
  hanging,
};

/// Test double of the network between one instance and one replica: forwards connections to the
/// replica until the link is cut.
class link_stand_in {
public:
  link_stand_in(net::event_loop& loop, net::address target);
  ~link_stand_in();
  link_stand_in(const link_stand_in&) = delete;
  link_stand_in& operator=(const link_stand_in&) = delete;
  link_stand_in(link_stand_in&&) = delete;
  link_stand_in& operator=(link_stand_in&&) = delete;

  void set_state(link_state state);
  /// Lets nothing more pass on the connections that are open, in any state; new ones work.
  void silence_open_connections();
  [[nodiscard]] const net::address& address() const { return address_; }

private:
  struct connection {
    link_stand_in* owner = nullptr;
    bufferevent* near = nullptr;
    bufferevent* far = nullptr;
    bool is_silent = false;
    /// Whether the instance has closed or reset its side while the link was hanging.
    bool is_closed_by_near = false;
    bool is_reset_by_near = false;
  };

  static void on_accept(evutil_socket_t fd, short what, void* self);
  static void on_read(bufferevent* from, void* pair);
  static void on_event(bufferevent* from, short what, void* pair);
  void listen();
  void stop_listening();
  /// Fills the queue of new connections, so that the system drops further ones silently.
  void fill_queue();
  void close(connection& it, bool reset);
  /// Lets what was held up while the link was hanging arrive.
  void pass_held_bytes();

  net::event_loop& loop_;
  net::address target_;
  net::address address_;
  link_state state_ = link_state::open;
  evutil_socket_t listener_ = -1;
  event* accept_event_ = nullptr;
  std::list<connection> connections_;
  std::vector<evutil_socket_t> fillers_;
};

} // namespace boragedoor::platform
