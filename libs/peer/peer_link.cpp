#include "peer/peer_link.h"

#include <cerrno>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "peer/websocket_session.h"

namespace boragedoor::peer {

namespace {

// A peer that does not read must not fill this instance's memory. The bound holds a few
// configuration snapshots; control may use 128 MB for everything.
constexpr std::size_t max_output_bytes = 8UL * 1024 * 1024;

sockaddr_in to_sockaddr(const net::address& at) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(at.port);
  ::inet_pton(AF_INET, at.host.c_str(), &name.sin_addr);
  return name;
}

class link final : public peer_link, public std::enable_shared_from_this<link> {
public:
  link(net::event_loop& loop, bufferevent* bev, net::address target, bool outgoing)
      : loop_(loop), bev_(bev), target_(std::move(target)), outgoing_(outgoing) {}

  ~link() override {
    if (bev_ != nullptr) {
      bufferevent_free(bev_);
    }
  }
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  link(link&&) = delete;
  link& operator=(link&&) = delete;

  void start(callbacks handlers) override {
    handlers_ = std::move(handlers);
    websocket_callbacks session_callbacks;
    session_callbacks.on_output = [this](const char* data, std::size_t n) {
      bytes_sent_ += n;
      if (bev_ != nullptr) {
        bufferevent_write(bev_, data, n);
      }
    };
    session_callbacks.on_open = [this] {
      open_ = true;
      if (handlers_.on_open) {
        handlers_.on_open();
      }
    };
    session_callbacks.on_message = [this](const std::string& bytes) { deliver(bytes); };
    session_callbacks.on_closed = [this] { end_later(false); };
    session_callbacks_ = std::move(session_callbacks);
    bufferevent_setcb(bev_, &link::on_read, nullptr, &link::on_event, this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    if (outgoing_) {
      const sockaddr_in name = to_sockaddr(target_);
      if (bufferevent_socket_connect(bev_, reinterpret_cast<const sockaddr*>(&name),
                                     static_cast<int>(sizeof name)) != 0) {
        end_later(errno == ECONNREFUSED);
      }
    } else {
      session_ = websocket_session::accept(session_callbacks_);
    }
  }

  bool send(const json& message) override {
    if (!open_ || bev_ == nullptr ||
        evbuffer_get_length(bufferevent_get_output(bev_)) > max_output_bytes) {
      return false;
    }
    return session_->send(to_cbor(message));
  }

  void close() override {
    ended_ = true;
    open_ = false;
    if (bev_ != nullptr) {
      // The session may be on the stack, so the socket goes after the current callback.
      bufferevent_disable(bev_, EV_READ);
      bufferevent_setcb(bev_, nullptr, nullptr, nullptr, nullptr);
      loop_.post([keep = shared_from_this()] { keep->release(); });
    }
  }

  [[nodiscard]] std::size_t bytes_sent() const override { return bytes_sent_; }
  [[nodiscard]] std::size_t bytes_received() const override { return bytes_received_; }

private:
  static void on_read(bufferevent* bev, void* self) {
    const auto keep = static_cast<link*>(self)->shared_from_this();
    evbuffer* input = bufferevent_get_input(bev);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    keep->bytes_received_ += bytes.size();
    if (keep->session_ && !keep->ended_) {
      keep->session_->receive(bytes.data(), bytes.size());
    }
  }

  static void on_event(bufferevent* bev, short what, void* self) {
    const auto keep = static_cast<link*>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      const int on = 1;
      ::setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      keep->session_ =
          websocket_session::connect(net::to_string(keep->target_), keep->session_callbacks_);
      return;
    }
    const bool refused =
        (what & BEV_EVENT_ERROR) != 0 && !keep->session_ && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    keep->end_later(refused);
  }

  void deliver(const std::string& bytes) {
    const auto keep = shared_from_this();
    const auto message = parse_cbor(bytes);
    if (!message) {
      end_later(false);
      return;
    }
    if (!ended_ && handlers_.on_message) {
      handlers_.on_message(message.value());
    }
  }

  void end_later(bool refused) {
    if (ended_) {
      return;
    }
    ended_ = true;
    open_ = false;
    loop_.post([keep = shared_from_this(), refused] {
      keep->release();
      if (keep->handlers_.on_closed) {
        const auto fn = keep->handlers_.on_closed;
        fn(refused);
      }
      keep->handlers_ = {};
    });
  }

  void release() {
    if (bev_ != nullptr) {
      bufferevent_free(bev_);
      bev_ = nullptr;
    }
  }

  net::event_loop& loop_;
  bufferevent* bev_;
  net::address target_;
  bool outgoing_;
  callbacks handlers_;
  websocket_callbacks session_callbacks_;
  std::unique_ptr<websocket_session> session_;
  bool open_ = false;
  bool ended_ = false;
  std::size_t bytes_sent_ = 0;
  std::size_t bytes_received_ = 0;
};

} // namespace

std::shared_ptr<peer_link> peer_link::connect(net::event_loop& loop, const net::address& target) {
  bufferevent* bev =
      bufferevent_socket_new(loop.native(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  return std::make_shared<link>(loop, bev, target, true);
}

struct peer_listener::impl {
  net::event_loop& loop;
  evconnlistener* handle = nullptr;
  net::address local;
  accept_handler on_accept;

  explicit impl(net::event_loop& owner) : loop(owner) {}

  static void on_connection(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*name*/,
                            int /*length*/, void* self) {
    auto& state = *static_cast<impl*>(self);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent* bev = bufferevent_socket_new(state.loop.native(), fd,
                                              BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    state.on_accept(std::make_shared<link>(state.loop, bev, net::address{}, false));
  }
};

result<std::unique_ptr<peer_listener>>
peer_listener::listen(net::event_loop& loop, const net::address& at, accept_handler on_accept) {
  auto state = std::make_unique<impl>(loop);
  state->on_accept = std::move(on_accept);
  const sockaddr_in name = to_sockaddr(at);
  constexpr int default_backlog = -1;
  state->handle = evconnlistener_new_bind(
      loop.native(), &impl::on_connection, state.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      default_backlog, reinterpret_cast<const sockaddr*>(&name), static_cast<int>(sizeof name));
  if (state->handle == nullptr) {
    return error{error_code::io, "cannot listen on " + net::to_string(at) +
                                     "; check that the address is local and the port is free"};
  }
  sockaddr_in bound{};
  socklen_t n = sizeof bound;
  ::getsockname(evconnlistener_get_fd(state->handle), reinterpret_cast<sockaddr*>(&bound), &n);
  state->local = {at.host, ntohs(bound.sin_port)};
  return std::unique_ptr<peer_listener>(new peer_listener(std::move(state)));
}

peer_listener::peer_listener(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

peer_listener::~peer_listener() {
  evconnlistener_free(impl_->handle);
}

const net::address& peer_listener::local_address() const {
  return impl_->local;
}

} // namespace boragedoor::peer
