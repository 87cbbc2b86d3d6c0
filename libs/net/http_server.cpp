#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <list>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace boragedoor::net {

namespace {

// How often sockets of unanswered requests are checked for a caller that has left.
constexpr duration departure_check_period = milliseconds(100);

std::string_view method_name(evhttp_cmd_type type) {
  switch (type) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "";
  }
}

std::string decode(const char* text) {
  std::size_t n = 0;
  char* decoded = evhttp_uridecode(text, 0, &n);
  std::string value;
  if (decoded != nullptr) {
    value.assign(decoded, n);
    std::free(decoded); // NOLINT(cppcoreguidelines-no-malloc): evhttp allocated it
  }
  return value;
}

http_request read_request(evhttp_request* raw) {
  http_request request;
  request.method = method_name(evhttp_request_get_command(raw));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  request.path = path == nullptr ? "" : decode(path);
  const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  if (query != nullptr) {
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query, &pairs) == 0) {
      for (const evkeyval* it = pairs.tqh_first; it != nullptr; it = it->next.tqe_next) {
        request.query.emplace(it->key, it->value);
      }
      evhttp_clear_headers(&pairs);
    }
  }
  const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
  for (const evkeyval* it = fields->tqh_first; it != nullptr; it = it->next.tqe_next) {
    request.fields.emplace_back(it->key, it->value);
  }
  evbuffer* input = evhttp_request_get_input_buffer(raw);
  request.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, request.body.data(), request.body.size());
  return request;
}

bool peer_has_closed(evutil_socket_t fd) {
  char byte = 0;
  const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace

struct http_exchange::impl {
  http_request request;
  evhttp_request* raw = nullptr;
  bool streaming = false;
  std::function<void()> left;
  // Set by the server to take this exchange off its list.
  std::function<void()> released;

  [[nodiscard]] evhttp_connection* connection() const {
    return raw == nullptr ? nullptr : evhttp_request_get_connection(raw);
  }

  // Forgets the evhttp request, which evhttp frees itself.
  void release() {
    evhttp_connection* conn = connection();
    if (conn != nullptr) {
      evhttp_connection_set_closecb(conn, nullptr, nullptr);
    }
    raw = nullptr;
    if (released) {
      const auto fn = std::move(released);
      released = nullptr;
      fn();
    }
  }

  void caller_left() {
    const auto fn = std::move(left);
    left = nullptr;
    release();
    if (fn) {
      fn();
    }
  }

  static void on_close(evhttp_connection* /*conn*/, void* self) {
    auto& state = *static_cast<impl*>(self);
    evhttp_request* raw = state.raw;
    if (raw == nullptr) {
      return;
    }
    // evhttp frees the request together with the connection after this callback, unless it took
    // the request off the connection because its reply is not finished.
    const bool is_detached = evhttp_request_get_connection(raw) == nullptr;
    state.caller_left();
    if (is_detached) {
      evhttp_request_free(raw);
    }
  }

  void add_headers(const headers& fields) const {
    evkeyvalq* output = evhttp_request_get_output_headers(raw);
    for (const auto& [key, value] : fields) {
      evhttp_add_header(output, key.c_str(), value.c_str());
    }
  }
};

http_exchange::http_exchange(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

http_exchange::~http_exchange() {
  if (impl_->raw != nullptr) {
    // A handler that drops the exchange without a reply must not leave the caller waiting.
    impl_->left = nullptr;
    abort();
  }
}

const http_request& http_exchange::request() const {
  return impl_->request;
}

bool http_exchange::is_open() const {
  return impl_->raw != nullptr;
}

void http_exchange::respond(int status, const headers& fields, std::string_view body) {
  if (impl_->raw == nullptr || impl_->streaming) {
    return;
  }
  impl_->add_headers(fields);
  evhttp_request* raw = impl_->raw;
  evbuffer* buf = evhttp_request_get_output_buffer(raw);
  evbuffer_add(buf, body.data(), body.size());
  impl_->left = nullptr;
  impl_->release();
  evhttp_send_reply(raw, status, nullptr, nullptr);
}

void http_exchange::respond_json(int status, const json& value, headers fields) {
  fields.emplace_back("Content-Type", "application/json");
  respond(status, fields, to_text(value) + '\n');
}

void http_exchange::start_stream(int status, const headers& fields) {
  if (impl_->raw == nullptr || impl_->streaming) {
    return;
  }
  impl_->add_headers(fields);
  impl_->streaming = true;
  evhttp_send_reply_start(impl_->raw, status, nullptr);
}

void http_exchange::send_chunk(std::string_view data) {
  if (impl_->raw == nullptr || !impl_->streaming || data.empty()) {
    return;
  }
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, data.data(), data.size());
  evhttp_send_reply_chunk(impl_->raw, buf);
  evbuffer_free(buf);
}

void http_exchange::finish_stream() {
  if (impl_->raw == nullptr || !impl_->streaming) {
    return;
  }
  evhttp_request* raw = impl_->raw;
  impl_->left = nullptr;
  impl_->release();
  evhttp_send_reply_end(raw);
}

void http_exchange::abort() {
  evhttp_connection* conn = impl_->connection();
  if (conn == nullptr) {
    return;
  }
  // Shutting the socket down lets evhttp find the end of the connection and free it by itself;
  // freeing it here would be unsafe inside one of its callbacks.
  bufferevent* bev = evhttp_connection_get_bufferevent(conn);
  const evutil_socket_t fd = bufferevent_getfd(bev);
  impl_->left = nullptr;
  evhttp_request* raw = impl_->raw;
  const bool started = impl_->streaming;
  impl_->release();
  if (fd >= 0) {
    ::shutdown(fd, SHUT_RDWR);
  }
  if (!started) {
    evhttp_send_reply_start(raw, 500, nullptr);
  }
  // The write fails on the closed socket, and that ends the connection.
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, " ", 1);
  evhttp_send_reply_chunk(raw, buf);
  evbuffer_free(buf);
  // Nothing more leaves the closed socket; this only lets evhttp free the request with the
  // connection.
  evhttp_send_reply_end(raw);
}

void http_exchange::on_caller_left(std::function<void()> fn) {
  impl_->left = std::move(fn);
}

std::size_t http_exchange::pending_bytes() const {
  evhttp_connection* conn = impl_->connection();
  if (conn == nullptr) {
    return 0;
  }
  return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(conn)));
}

struct http_server::impl {
  event_loop& loop;
  evhttp* http = nullptr;
  evhttp_bound_socket* bound = nullptr;
  address local;
  http_handler handler;
  std::list<std::pair<http_exchange::impl*, std::weak_ptr<http_exchange>>> open;
  std::unique_ptr<timer> departure_check;

  explicit impl(event_loop& owner) : loop(owner) {}

  static void on_request(evhttp_request* raw, void* self) { static_cast<impl*>(self)->accept(raw); }

  void accept(evhttp_request* raw) {
    auto state = std::make_unique<http_exchange::impl>();
    state->request = read_request(raw);
    state->raw = raw;
    evhttp_connection* conn = evhttp_request_get_connection(raw);
    http_exchange::impl* plain = state.get();
    evhttp_connection_set_closecb(conn, &http_exchange::impl::on_close, plain);
    const int on = 1;
    const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto exchange = std::make_shared<http_exchange>(std::move(state));
    const auto place = open.emplace(open.end(), plain, exchange);
    plain->released = [this, place] { open.erase(place); };
    if (exchange->request().method.empty()) {
      exchange->respond_json(405, {{"error",
                                    {{"code", "method_not_allowed"},
                                     {"message", "this method is not supported"},
                                     {"executed", "no"}}}});
      return;
    }
    handler(std::move(exchange));
  }

  void check_departures() {
    std::vector<std::shared_ptr<http_exchange>> gone;
    for (const auto& [state, exchange] : open) {
      evhttp_connection* conn = state->connection();
      if (conn == nullptr) {
        continue;
      }
      const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));
      if (fd >= 0 && peer_has_closed(fd)) {
        if (auto it = exchange.lock()) {
          gone.push_back(std::move(it));
        }
      }
    }
    for (const auto& it : gone) {
      close_departed(it);
    }
  }

  void close_departed(const std::shared_ptr<http_exchange>& exchange) {
    const auto found = std::find_if(open.begin(), open.end(),
                                    [&](const auto& it) { return it.second.lock() == exchange; });
    if (found == open.end()) {
      return;
    }
    http_exchange::impl* state = found->first;
    evhttp_connection* conn = state->connection();
    state->caller_left();
    if (conn != nullptr) {
      // No callback of this connection is active here, so it can be freed with its request.
      evhttp_connection_free(conn);
    }
  }
};

result<std::unique_ptr<http_server>> http_server::listen(event_loop& loop, const address& at,
                                                         const http_limits& limits,
                                                         http_handler handler) {
  auto state = std::make_unique<impl>(loop);
  state->handler = std::move(handler);
  state->http = evhttp_new(loop.native());
  evhttp_set_max_headers_size(state->http, static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(state->http, static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(
      state->http,
      static_cast<int>(std::chrono::duration_cast<seconds>(limits.idle_timeout).count()));
  evhttp_set_allowed_methods(state->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                              EVHTTP_REQ_PATCH);
  evhttp_set_default_content_type(state->http, nullptr);
  evhttp_set_gencb(state->http, &impl::on_request, state.get());
  state->bound = evhttp_bind_socket_with_handle(state->http, at.host.c_str(), at.port);
  if (state->bound == nullptr) {
    evhttp_free(state->http);
    return error{error_code::io, "cannot listen on " + to_string(at) +
                                     "; check that the address is local and the port is free"};
  }
  sockaddr_in name{};
  socklen_t n = sizeof name;
  ::getsockname(evhttp_bound_socket_get_fd(state->bound), reinterpret_cast<sockaddr*>(&name), &n);
  state->local = {at.host, ntohs(name.sin_port)};
  impl* plain = state.get();
  state->departure_check = std::make_unique<timer>(loop, [plain] { plain->check_departures(); });
  state->departure_check->start_periodic(departure_check_period);
  return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

http_server::~http_server() {
  impl_->departure_check.reset();
  // Exchanges that handlers still hold must forget their requests before evhttp frees them.
  while (!impl_->open.empty()) {
    impl_->open.front().first->left = nullptr;
    impl_->open.front().first->release();
  }
  evhttp_free(impl_->http);
}

const address& http_server::local_address() const {
  return impl_->local;
}

std::size_t http_server::open_exchanges() const {
  return impl_->open.size();
}

void http_server::stop_listening() {
  if (impl_->bound != nullptr) {
    evhttp_del_accept_socket(impl_->http, impl_->bound);
    impl_->bound = nullptr;
  }
}

} // namespace boragedoor::net
