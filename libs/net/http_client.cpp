#include "net/http_client.h"

#include <map>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "net/head_check.h"
#include "net/output_state.h"

namespace boragedoor::net {

namespace {

// Idle connections kept per target. More would only hold descriptors on the endpoint.
constexpr std::size_t max_idle_per_target = 8;

// evhttp's own timer must never fire before ours, which knows what to report.
constexpr int evhttp_timeout_seconds = 24 * 60 * 60;

std::optional<evhttp_cmd_type> method_type(std::string_view name) {
  if (name == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (name == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (name == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (name == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (name == "PATCH") {
    return EVHTTP_REQ_PATCH;
  }
  if (name == "HEAD") {
    return EVHTTP_REQ_HEAD;
  }
  return std::nullopt;
}

// What a callback with the head of a reply tells evhttp.
constexpr int read_on = 0;
constexpr int end_call = -1;

/// A connection, the count of bytes that it handed to the network, and the head of the reply that
/// comes on it.
struct client_connection {
  evhttp_connection* handle = nullptr;
  std::size_t bytes_sent = 0;
  head_check reply_head;

  void start_call() {
    bytes_sent = 0;
    reply_head.restart();
  }

  static void on_output(evbuffer* /*buf*/, const evbuffer_cb_info* info, void* self) {
    static_cast<client_connection*>(self)->bytes_sent += info->n_deleted;
  }

  static void on_input(evbuffer* buf, const evbuffer_cb_info* info, void* self) {
    static_cast<client_connection*>(self)->check_head(buf, info->n_added);
  }

  /// Checks the last `size` bytes of the input, as far as they are of a head.
  void check_head(evbuffer* buf, std::size_t size) {
    if (size == 0 || reply_head.is_complete()) {
      return;
    }
    std::string added(size, '\0');
    evbuffer_ptr from{};
    evbuffer_ptr_set(buf, &from, evbuffer_get_length(buf) - size, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(buf, &from, added.data(), added.size());
    std::string_view rest = added;
    while (!rest.empty() && !reply_head.is_complete()) {
      rest.remove_prefix(reply_head.feed(rest));
      // evhttp skips interim responses.
      if (reply_head.is_complete() && reply_head.is_interim() && reply_head.has_valid_lines()) {
        reply_head.restart();
      }
    }
  }
};

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl> {
  class call;

  event_loop& loop;
  std::map<address, std::vector<client_connection*>> idle;
  std::unordered_set<call*> active;
  bool closed = false;

  explicit impl(event_loop& owner) : loop(owner) {}

  client_connection* take_connection(const address& target) {
    auto& list = idle[target];
    if (!list.empty()) {
      client_connection* conn = list.back();
      list.pop_back();
      return conn;
    }
    bufferevent* bev =
        bufferevent_socket_new(loop.native(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    auto* conn = new client_connection;
    conn->handle = evhttp_connection_base_bufferevent_new(loop.native(), nullptr, bev,
                                                          target.host.c_str(), target.port);
    evhttp_connection_set_timeout(conn->handle, evhttp_timeout_seconds);
    evhttp_connection_set_retries(conn->handle, 0);
    evbuffer_add_cb(bufferevent_get_output(bev), &client_connection::on_output, conn);
    evbuffer_add_cb(bufferevent_get_input(bev), &client_connection::on_input, conn);
    return conn;
  }

  void keep_connection(const address& target, client_connection* conn) {
    auto& list = idle[target];
    if (closed || list.size() >= max_idle_per_target) {
      free_connection(conn);
      return;
    }
    list.push_back(conn);
  }

  static void free_connection(client_connection* conn) {
    bufferevent* bev = evhttp_connection_get_bufferevent(conn->handle);
    evbuffer_remove_cb(bufferevent_get_output(bev), &client_connection::on_output, conn);
    evbuffer_remove_cb(bufferevent_get_input(bev), &client_connection::on_input, conn);
    evhttp_connection_free(conn->handle);
    delete conn;
  }

  /// Owns a connection until a posted call has run, or until the loop ends without running it.
  using connection_guard = std::unique_ptr<client_connection, void (*)(client_connection*)>;

  static std::shared_ptr<connection_guard> guard(client_connection* conn) {
    return std::make_shared<connection_guard>(conn, &impl::free_connection);
  }
};

/// One call. It keeps itself alive until its end is reported.
class http_client::impl::call final : public http_call, public std::enable_shared_from_this<call> {
public:
  call(std::shared_ptr<impl> owner, http_call_spec spec, http_callbacks callbacks)
      : owner_(std::move(owner)), spec_(std::move(spec)), callbacks_(std::move(callbacks)),
        progress_timer_(owner_->loop, [this] { expire("no byte from the server in time"); }),
        total_timer_(owner_->loop, [this] { expire("the call took longer than allowed"); }) {}

  void start() {
    self_ = shared_from_this();
    owner_->active.insert(this);
    progress_timer_.start_once(spec_.progress_timeout);
    if (spec_.total_timeout > duration::zero()) {
      total_timer_.start_once(spec_.total_timeout);
    }
    const auto type = method_type(spec_.method);
    if (!type) {
      fail_later(error{error_code::invalid_argument, "unsupported method " + spec_.method});
      return;
    }
    connection_ = owner_->take_connection(spec_.target);
    connection_->start_call();
    evhttp_connection_set_max_body_size(connection_->handle,
                                        static_cast<ev_ssize_t>(spec_.max_body_bytes));
    request_ = evhttp_request_new(&call::on_done, this);
    evhttp_request_set_header_cb(request_, &call::on_headers);
    evhttp_request_set_error_cb(request_, &call::on_error);
    if (callbacks_.on_chunk) {
      evhttp_request_set_chunked_cb(request_, &call::on_chunk);
    }
    evkeyvalq* fields = evhttp_request_get_output_headers(request_);
    evhttp_add_header(fields, "Host", to_string(spec_.target).c_str());
    for (const auto& [key, value] : spec_.fields) {
      evhttp_add_header(fields, key.c_str(), value.c_str());
    }
    // evhttp adds the length by itself for POST and PUT only; the body of another method would be
    // read as the start of the next request.
    if (!spec_.body.empty() && find_header(spec_.fields, "Content-Length").empty()) {
      evhttp_add_header(fields, "Content-Length", std::to_string(spec_.body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request_), spec_.body.data(), spec_.body.size());
    if (evhttp_make_request(connection_->handle, request_, *type, spec_.path.c_str()) != 0) {
      // evhttp has freed the request.
      request_ = nullptr;
      fail_later(error{error_code::unavailable, "cannot connect to " + to_string(spec_.target)});
    }
  }

  void cancel() override {
    if (!self_) {
      return;
    }
    const auto keep = release();
    if (connection_ != nullptr) {
      close_connection();
    }
  }

private:
  static int on_headers_impl(call& it, evhttp_request* raw) {
    it.progressed();
    it.reply_.status = evhttp_request_get_response_code(raw);
    const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
    for (const evkeyval* field = fields->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
      it.reply_.fields.emplace_back(field->key, field->value);
    }
    // A head of which no end was seen is of an interim response that evhttp does not skip.
    const head_check& head = it.connection_->reply_head;
    if (!head.is_complete() || !head.has_valid_status() || !head.has_valid_lines()) {
      it.refusal_ = error{error_code::protocol, "the server sent a malformed reply"};
      return end_call;
    }
    if (it.ends_with_connection() && !it.is_request_received()) {
      it.refusal_ = error{error_code::unavailable,
                          "the server sent a reply without a length before it had the request"};
      return end_call;
    }
    if (it.callbacks_.on_headers) {
      it.callbacks_.on_headers(it.reply_);
    }
    return read_on;
  }

  static int on_headers(evhttp_request* raw, void* self) {
    auto& it = *static_cast<call*>(self);
    if (it.self_) {
      const auto keep = it.self_;
      return on_headers_impl(it, raw);
    }
    return read_on;
  }

  /// Whether the end of the connection is the end of the reply's body.
  [[nodiscard]] bool ends_with_connection() const {
    const std::string coding(find_header(reply_.fields, "Transfer-Encoding"));
    return spec_.method != "HEAD" && reply_.status != HTTP_NOCONTENT &&
           reply_.status != HTTP_NOTMODIFIED &&
           find_header(reply_.fields, "Content-Length").empty() &&
           evutil_ascii_strcasecmp(coding.c_str(), "chunked") != 0;
  }

  /// evhttp hides how a connection ended. A server that ends its side before it has received the
  /// request may still reset the connection, and one that crashes ends its side in the same way, so
  /// the end would not show that a body without a length is whole.
  [[nodiscard]] bool is_request_received() const {
    bufferevent* bev = evhttp_connection_get_bufferevent(connection_->handle);
    return evbuffer_get_length(bufferevent_get_output(bev)) == 0 &&
           is_output_received(bufferevent_getfd(bev));
  }

  static void on_chunk(evhttp_request* raw, void* self) {
    auto& it = *static_cast<call*>(self);
    if (!it.self_) {
      return;
    }
    const auto keep = it.self_;
    it.progressed();
    evbuffer* buf = evhttp_request_get_input_buffer(raw);
    std::string data(evbuffer_get_length(buf), '\0');
    evbuffer_copyout(buf, data.data(), data.size());
    it.callbacks_.on_chunk(data);
  }

  static void on_error(evhttp_request_error what, void* self) {
    static_cast<call*>(self)->evhttp_error_ = what;
  }

  static void on_done(evhttp_request* raw, void* self) {
    auto& it = *static_cast<call*>(self);
    // evhttp frees the request after this callback.
    it.request_ = nullptr;
    if (!it.self_) {
      return;
    }
    if (raw == nullptr || it.evhttp_error_ || evhttp_request_get_response_code(raw) == 0) {
      it.fail(it.describe_error());
      return;
    }
    it.succeed(raw);
  }

  error describe_error() const {
    const std::string place = " (" + to_string(spec_.target) + ')';
    if (refusal_) {
      return {refusal_->code, refusal_->message + place};
    }
    if (!evhttp_error_) {
      return {error_code::unavailable, "connection refused or reset" + place};
    }
    switch (*evhttp_error_) {
    case EVREQ_HTTP_TIMEOUT:
      return {error_code::timeout, "the server did not answer in time" + place};
    case EVREQ_HTTP_EOF:
      return {error_code::unavailable, "the server closed the connection early" + place};
    case EVREQ_HTTP_INVALID_HEADER:
      return {error_code::protocol, "the server sent a malformed reply" + place};
    case EVREQ_HTTP_DATA_TOO_LONG:
      return {error_code::protocol, "the server's reply is too large" + place};
    default:
      return {error_code::unavailable, "the connection broke" + place};
    }
  }

  void progressed() { progress_timer_.start_once(spec_.progress_timeout); }

  // Ends the call's bookkeeping; the returned pointer keeps it alive for its last callback.
  std::shared_ptr<call> release() {
    progress_timer_.cancel();
    total_timer_.cancel();
    owner_->active.erase(this);
    return std::move(self_);
  }

  void close_connection() {
    if (request_ != nullptr) {
      // The connection is freed with the request, after whatever callback is running.
      evhttp_request_set_chunked_cb(request_, nullptr);
    }
    client_connection* conn = connection_;
    connection_ = nullptr;
    // The call has no reply, so what the system has not delivered of its request must not arrive.
    set_reset_on_close(bufferevent_getfd(evhttp_connection_get_bufferevent(conn->handle)), true);
    // evhttp may still use the connection after the callback that is running now.
    owner_->loop.post([guard = impl::guard(conn), keep = shared_from_this()] { guard->reset(); });
  }

  void succeed(evhttp_request* raw) {
    const auto keep = release();
    evbuffer* buf = evhttp_request_get_input_buffer(raw);
    if (!callbacks_.on_chunk) {
      reply_.body.resize(evbuffer_get_length(buf));
      evbuffer_remove(buf, reply_.body.data(), reply_.body.size());
    }
    // The connection is free for reuse only after evhttp has returned from this callback.
    owner_->loop.post([owner = owner_, target = spec_.target, guard = impl::guard(connection_)] {
      owner->keep_connection(target, guard->release());
    });
    connection_ = nullptr;
    if (callbacks_.on_reply) {
      callbacks_.on_reply(std::move(reply_));
    }
  }

  void fail(error cause) {
    const auto keep = release();
    http_failure failure{std::move(cause), connection_ == nullptr || connection_->bytes_sent == 0};
    if (connection_ != nullptr) {
      close_connection();
    }
    if (callbacks_.on_failure) {
      callbacks_.on_failure(std::move(failure));
    }
  }

  void fail_later(error cause) {
    owner_->loop.post([keep = shared_from_this(), cause = std::move(cause)]() mutable {
      if (keep->self_) {
        keep->fail(std::move(cause));
      }
    });
  }

  void expire(const char* reason) {
    if (self_) {
      fail(error{error_code::timeout, reason + (" (" + to_string(spec_.target) + ')')});
    }
  }

  std::shared_ptr<impl> owner_;
  http_call_spec spec_;
  http_callbacks callbacks_;
  timer progress_timer_;
  timer total_timer_;
  client_connection* connection_ = nullptr;
  evhttp_request* request_ = nullptr;
  std::optional<evhttp_request_error> evhttp_error_;
  /// Why the reply was refused with its head.
  std::optional<error> refusal_;
  http_reply reply_;
  std::shared_ptr<call> self_;
};

http_client::http_client(event_loop& loop) : impl_(std::make_shared<impl>(loop)) {}

http_client::~http_client() {
  impl_->closed = true;
  const std::unordered_set<impl::call*> calls = impl_->active;
  for (impl::call* it : calls) {
    it->cancel();
  }
  for (auto& [target, list] : impl_->idle) {
    for (client_connection* it : list) {
      impl::free_connection(it);
    }
  }
  impl_->idle.clear();
}

std::shared_ptr<http_call> http_client::send(http_call_spec spec, http_callbacks callbacks) {
  auto it = std::make_shared<impl::call>(impl_, std::move(spec), std::move(callbacks));
  it->start();
  return it;
}

void http_client::drop_idle(const address& target) {
  const auto found = impl_->idle.find(target);
  if (found == impl_->idle.end()) {
    return;
  }
  for (client_connection* it : found->second) {
    impl::free_connection(it);
  }
  impl_->idle.erase(found);
}

} // namespace boragedoor::net
