#include "http1/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>

#include "base/release_memory.h"
#include "http1/message_output.h"

namespace boragedoor::http1 {

namespace {

/// Input kept while a response is in progress: the start of a next request, not its body.
constexpr std::size_t pipelined_bytes = 64UL * 1024;

/// How long a caller whose request was refused may go on sending it.
constexpr duration refused_input_time = seconds(1);

constexpr std::string_view head_end = "\r\n\r\n";

constexpr std::string_view too_large_text = "the body is too large";
constexpr std::string_view out_of_memory_text = "the instance has no memory for the body now";

/// Headers that decide who a request is from and where it ends. Two of one kind could be read in
/// two ways.
constexpr std::array<std::string_view, 4> single_headers = {"host", "authorization",
                                                            "content-length", "transfer-encoding"};

/// Requests up to this size wait for an endpoint also if the process holds too many bytes.
constexpr std::size_t ordinary_request_bytes = 4UL * 1024;

/// Bytes that a request's head takes once it is parsed, and once more in the request to an endpoint
/// until that is written. Small fields take many times their text.
std::size_t head_bytes(const request& it) {
  return 2 * std::accumulate(it.headers.begin(), it.headers.end(), it.target.size(),
                             [](std::size_t sum, const auto& field) {
                               return sum + sizeof field + field.first.size() + field.second.size();
                             });
}

bool repeats_single_header(const net::headers& list) {
  return std::any_of(single_headers.begin(), single_headers.end(), [&](std::string_view name) {
    return std::count_if(list.begin(), list.end(),
                         [&](const auto& it) { return equal_ignoring_case(it.first, name); }) > 1;
  });
}

} // namespace

server_connection::server_connection(net::event_loop& loop, std::shared_ptr<server_shared> shared,
                                     evutil_socket_t fd, std::string peer)
    : loop_(loop), shared_(std::move(shared)),
      bev_(bufferevent_socket_new(loop.native(), fd,
                                  BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      peer_(std::move(peer)),
      parser_(message_kind::request,
              {.on_head = [this](const message_head& it) { return take_head(it); },
               .on_body =
                   [this](std::string_view data) {
                     request_.body.append(data);
                     input_account_->set(head_bytes_ + request_.body.size());
                   },
               .on_complete = [this] { message_done_ = true; }}),
      timer_(loop, [this] { on_timeout(); }), idle_since_(loop.now()),
      input_account_(make_input_account()),
      output_account_(shared_->budget, byte_use::output, peer_, [this] {
        const auto keep = shared_from_this();
        handle_end();
      }) {
  bufferevent_setcb(bev_, &server_connection::on_read, &server_connection::on_write,
                    &server_connection::on_event, this);
  evbuffer_add_cb(bufferevent_get_output(bev_), &server_connection::on_output, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  timer_.start_once(shared_->limits.idle_timeout);
}

server_connection::~server_connection() {
  evbuffer_remove_cb(bufferevent_get_output(bev_), &server_connection::on_output, this);
  bufferevent_free(bev_);
}

std::unique_ptr<byte_account> server_connection::make_input_account() {
  return std::make_unique<byte_account>(shared_->budget, byte_use::request_body, peer_, [this] {
    const auto keep = shared_from_this();
    refuse(503, out_of_memory_text);
  });
}

void server_connection::on_output(evbuffer* output, const evbuffer_cb_info* /*info*/, void* self) {
  static_cast<server_connection*>(self)->output_account_.set(evbuffer_get_length(output));
}

void server_connection::on_read(bufferevent* /*bev*/, void* self) {
  // The handler may close the connection; it must outlive this call.
  const auto keep = static_cast<server_connection*>(self)->shared_from_this();
  keep->read_input();
}

void server_connection::on_write(bufferevent* /*bev*/, void* self) {
  const auto keep = static_cast<server_connection*>(self)->shared_from_this();
  // A deferred callback may be of an earlier moment, when the output was empty.
  if (keep->phase_ == phase::closing && !keep->has_output()) {
    keep->close_after_output();
  }
}

void server_connection::on_event(bufferevent* /*bev*/, short what, void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    const auto keep = static_cast<server_connection*>(self)->shared_from_this();
    keep->handle_end();
  }
}

void server_connection::handle_end() {
  const auto open = exchange_.lock();
  close();
  if (open) {
    open->caller_left();
  }
}

void server_connection::read_input() {
  if (phase_ == phase::closing) {
    evbuffer* input = bufferevent_get_input(bev_);
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  bool more = true;
  while (more && (phase_ == phase::head || phase_ == phase::body)) {
    more = phase_ == phase::head ? read_head() : read_body();
  }
}

bool server_connection::read_head() {
  evbuffer* input = bufferevent_get_input(bev_);
  // An empty line before a request is allowed (RFC 9112, 2.2).
  while (!head_started_ && evbuffer_get_length(input) >= 2) {
    char first[2];
    evbuffer_copyout(input, first, 2);
    if (first[0] != '\r' || first[1] != '\n') {
      break;
    }
    evbuffer_drain(input, 2);
  }
  const std::size_t length = evbuffer_get_length(input);
  if (length == 0) {
    return false;
  }
  if (!std::exchange(head_started_, true)) {
    timer_.start_once(shared_->limits.header_timeout);
  }
  const evbuffer_ptr end = evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
  const std::size_t head_length =
      end.pos < 0 ? length : static_cast<std::size_t>(end.pos) + head_end.size();
  if (head_length > shared_->limits.header_bytes) {
    refuse(431, "the header fields are too large");
    return false;
  }
  if (end.pos < 0) {
    return false;
  }
  const auto* text =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(head_length)));
  message_done_ = false;
  parser_.feed({text, head_length});
  if (parser_.failed()) {
    if (phase_ != phase::closing) {
      refuse(refusal_ == 0 ? 400 : refusal_,
             refusal_text_.empty() ? parser_.error_text() : std::string(refusal_text_));
    }
    return false;
  }
  evbuffer_drain(input, head_length);
  phase_ = phase::body;
  timer_.start_once(shared_->limits.idle_timeout);
  if (message_done_) {
    dispatch();
  }
  return true;
}

bool server_connection::take_head(const message_head& head) {
  if (repeats_single_header(head.headers)) {
    return false;
  }
  const auto length = integer_header(head.headers, "Content-Length");
  const auto size = static_cast<std::size_t>(length.value_or(0));
  if (size > shared_->limits.body_bytes) {
    refusal_ = 413;
    refusal_text_ = too_large_text;
    return false;
  }
  request_ = {head.method, head.target, head.headers, {}};
  head_bytes_ = head_bytes(request_);
  if (!shared_->budget->has_room_for(head_bytes_ + size)) {
    refusal_ = 503;
    refusal_text_ = out_of_memory_text;
    return false;
  }
  request_.body.reserve(size);
  input_account_->set_length_known(length.has_value());
  input_account_->set(head_bytes_);
  keep_alive_ = head.keep_alive;
  if (has_token(net::find_header(head.headers, "Expect"), "100-continue")) {
    constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(bev_, go_on.data(), go_on.size());
  }
  return true;
}

bool server_connection::read_body() {
  evbuffer* input = bufferevent_get_input(bev_);
  const std::size_t n = evbuffer_get_contiguous_space(input);
  if (n == 0) {
    return false;
  }
  const auto* text =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
  const std::size_t used = parser_.feed({text, n});
  if (parser_.failed()) {
    refuse(400, parser_.error_text());
    return false;
  }
  evbuffer_drain(input, used);
  if (request_.body.size() > shared_->limits.body_bytes) {
    refuse(413, too_large_text);
    return false;
  }
  timer_.start_once(shared_->limits.idle_timeout);
  if (message_done_) {
    dispatch();
  }
  return true;
}

void server_connection::dispatch() {
  if (input_account_->bytes() > ordinary_request_bytes &&
      (input_account_->is_ending() || shared_->budget->is_exceeded())) {
    refuse(503, out_of_memory_text);
    return;
  }
  phase_ = phase::answering;
  head_started_ = false;
  timer_.cancel();
  bufferevent_setwatermark(bev_, EV_READ, 0, pipelined_bytes);
  // The request may be with an endpoint from now on.
  input_account_->keep();
  auto open = std::make_shared<exchange>(weak_from_this(), std::exchange(request_, {}), peer_,
                                         std::exchange(input_account_, make_input_account()));
  exchange_ = open;
  shared_->handler(std::move(open));
}

void server_connection::refuse(int status, std::string_view message) {
  keep_alive_ = false;
  phase_ = phase::answering;
  timer_.cancel();
  is_refused_ = true;
  // An assignment keeps the memory of the body.
  release_memory(request_.body);
  request_ = {};
  input_account_->set(0);
  evbuffer* input = bufferevent_get_input(bev_);
  evbuffer_drain(input, evbuffer_get_length(input));
  send_whole(shared_->refuse(status, message));
}

void server_connection::write_head(const response& it, bool chunked) {
  const bool close = !keep_alive_ || shared_->draining;
  keep_alive_ = !close;
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", it.status, reason_phrase(it.status));
  for (const auto& [name, value] : it.headers) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  if (chunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else {
    head += fmt::format("Content-Length: {}\r\n", it.body.size());
  }
  head += close ? "Connection: close\r\n\r\n" : "\r\n";
  bufferevent_write(bev_, head.data(), head.size());
}

void server_connection::send_whole(response it) {
  write_head(it, false);
  write_body(bev_, std::move(it.body));
  end_response();
}

void server_connection::send_start(const response& it) {
  chunked_ = true;
  write_head(it, true);
  send_chunk(it.body);
}

void server_connection::send_chunk(std::string_view data) {
  if (data.empty()) {
    return;
  }
  const std::string size = fmt::format("{:x}\r\n", data.size());
  bufferevent_write(bev_, size.data(), size.size());
  bufferevent_write(bev_, data.data(), data.size());
  bufferevent_write(bev_, "\r\n", 2);
}

void server_connection::send_end() {
  constexpr std::string_view last_chunk = "0\r\n\r\n";
  bufferevent_write(bev_, last_chunk.data(), last_chunk.size());
  end_response();
}

void server_connection::break_off() {
  keep_alive_ = false;
  end_response();
}

void server_connection::end_response() {
  exchange_.reset();
  chunked_ = false;
  if (!keep_alive_) {
    // The write callback closes the connection once the response is out. A caller that does not
    // read is dropped after the idle timeout.
    phase_ = phase::closing;
    timer_.start_once(shared_->limits.idle_timeout);
    if (!has_output()) {
      close_after_output();
    }
    return;
  }
  phase_ = phase::head;
  idle_since_ = loop_.now();
  bufferevent_setwatermark(bev_, EV_READ, 0, 0);
  timer_.start_once(shared_->limits.idle_timeout);
  if (evbuffer_get_length(bufferevent_get_input(bev_)) > 0) {
    bufferevent_trigger(bev_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
}

void server_connection::close_after_output() {
  if (!std::exchange(is_refused_, false)) {
    close();
    return;
  }
  ::shutdown(bufferevent_getfd(bev_), SHUT_WR);
  timer_.start_once(refused_input_time);
}

void server_connection::close() {
  phase_ = phase::closing;
  timer_.cancel();
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
  bufferevent_setcb(bev_, nullptr, nullptr, nullptr, nullptr);
  // The object is freed in the next iteration of the event loop, and many connections may be
  // accepted before.
  if (const evutil_socket_t fd = bufferevent_getfd(bev_); fd >= 0) {
    bufferevent_setfd(bev_, -1);
    evutil_closesocket(fd);
  }
  input_account_->set(0);
  output_account_.set(0);
  shared_->on_closed(*this);
}

bool server_connection::has_output() const {
  return evbuffer_get_length(bufferevent_get_output(bev_)) > 0;
}

bool server_connection::is_busy() const {
  const bool receiving = phase_ == phase::body || (phase_ == phase::head && head_started_);
  return receiving || phase_ == phase::answering || has_output();
}

bool server_connection::is_idle() const {
  return phase_ != phase::closing && !is_busy() &&
         evbuffer_get_length(bufferevent_get_input(bev_)) == 0;
}

void server_connection::close_if_idle() {
  if (is_idle()) {
    close();
  }
}

void server_connection::on_timeout() {
  const auto keep = shared_from_this();
  if (phase_ == phase::head && head_started_) {
    refuse(408, "the header fields did not arrive in time");
    return;
  }
  if (phase_ == phase::body) {
    refuse(408, "the body did not arrive in time");
    return;
  }
  close();
}

} // namespace boragedoor::http1
