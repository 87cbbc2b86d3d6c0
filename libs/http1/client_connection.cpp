#include "http1/client_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>

#include "base/hash.h"
#include "base/release_memory.h"
#include "http1/message_output.h"
#include "net/output_state.h"

namespace boragedoor::http1 {

namespace {

/// How long a connection is kept whose server states no time.
constexpr duration default_keep = seconds(4);
/// A connection is no longer used this long before the server's stated timeout: a request that
/// crosses the server's close is lost.
constexpr duration close_margin = seconds(1);
/// Longest time for which a connection is kept, whatever the server states.
constexpr std::int64_t max_keep_seconds = 60;
/// Probes of a silent connection: after this many seconds, and how many may stay unanswered. A call
/// that waits for long, such as a watch, has no timeout that would show a dead connection.
constexpr int probe_seconds = 1;
constexpr int lost_probes = 2;

/// Calls whose response id a connection remembers. A late copy of a response arrives in the place
/// of the next one; one call more is remembered.
constexpr std::size_t remembered_calls = 2;

void set_socket_options(evutil_socket_t fd) {
  constexpr int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof probe_seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof probe_seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &lost_probes, sizeof lost_probes);
}

} // namespace

std::string_view to_string(call_outcome outcome) {
  switch (outcome) {
  case call_outcome::complete:
    return "complete";
  case call_outcome::not_connected:
    return "not_connected";
  case call_outcome::broken:
    return "broken";
  case call_outcome::timed_out:
    return "timed_out";
  case call_outcome::malformed:
    return "malformed";
  case call_outcome::invalid_request:
    return "invalid_request";
  }
  return "unknown";
}

client_connection::client_connection(net::event_loop& loop, const owner& pool,
                                     std::shared_ptr<byte_budget> budget, net::address target)
    : loop_(loop), pool_(pool), budget_(std::move(budget)), target_(std::move(target)),
      input_account_(budget_, byte_use::response_body, net::to_string(target_),
                     [this] {
                       const auto keep = shared_from_this();
                       fail(call_outcome::malformed);
                     }),
      output_account_(budget_, byte_use::output, net::to_string(target_), nullptr),
      timer_(loop,
             [this] {
               const auto keep = shared_from_this();
               fail(connected_ ? call_outcome::timed_out : call_outcome::not_connected);
             }),
      total_timer_(loop, [this] {
        const auto keep = shared_from_this();
        fail(call_outcome::timed_out);
      }) {}

client_connection::~client_connection() {
  if (bev_ != nullptr) {
    evbuffer_remove_cb(bufferevent_get_output(bev_), &client_connection::on_output, this);
    bufferevent_free(bev_);
  }
}

void client_connection::on_output(evbuffer* output, const evbuffer_cb_info* /*info*/, void* self) {
  auto& it = *static_cast<client_connection*>(self);
  // A shared body is counted by the exchange that it came with.
  const std::size_t length = evbuffer_get_length(output);
  it.output_account_.set(length - std::min(length, it.shared_bytes_));
}

void client_connection::start(call_spec spec, call_callbacks callbacks) {
  spec_ = std::move(spec);
  callbacks_ = std::move(callbacks);
  response_ = {};
  body_bytes_ = 0;
  head_bytes_ = 0;
  skipped_responses_ = 0;
  active_ = true;
  skipping_ = false;
  message_done_ = false;
  too_large_ = false;
  if (!spec_.response_id.empty()) {
    if (carried_.size() == remembered_calls) {
      carried_.erase(carried_.begin());
    }
    carried_.push_back(hash64(spec_.response_id));
  }
  if (!is_writable(spec_.message)) {
    // The caller must have its handle before it hears of the failure.
    loop_.post([keep = shared_from_this()] {
      if (keep->active_) {
        keep->fail(call_outcome::invalid_request);
      }
    });
    return;
  }
  if (bev_ == nullptr) {
    connect();
  } else {
    write_request();
  }
}

bool client_connection::has_carried(std::string_view response_id) const {
  return !response_id.empty() &&
         std::find(carried_.begin(), carried_.end(), hash64(response_id)) != carried_.end();
}

void client_connection::connect() {
  parser_ = std::make_unique<parser>(
      message_kind::response,
      parser_events{.on_head = [this](const message_head& it) { return take_head(it); },
                    .on_body = [this](std::string_view data) { take_data(data); },
                    .on_complete = [this] { message_done_ = true; }});
  bev_ =
      bufferevent_socket_new(loop_.native(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(bev_, &client_connection::on_read, nullptr, &client_connection::on_event, this);
  evbuffer_add_cb(bufferevent_get_output(bev_), &client_connection::on_output, this);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(target_.port);
  inet_pton(AF_INET, target_.host.c_str(), &name.sin_addr);
  timer_.start_once(spec_.connect_timeout);
  if (bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
    // The caller must have its handle before it hears of the failure.
    timer_.start_once(duration::zero());
  }
}

void client_connection::write_request() {
  request& it = spec_.message;
  std::string head = fmt::format("{} {} HTTP/1.1\r\n", it.method, it.target);
  for (const auto& [name, value] : it.headers) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  const std::size_t size = it.shared_body ? it.shared_body->size() : it.body.size();
  if (size > 0 || it.method == "POST" || it.method == "PUT") {
    head += fmt::format("Content-Length: {}\r\n", size);
  }
  head += "\r\n";
  if (it.method == "HEAD") {
    parser_->expect_no_body();
  }
  awaits_response_ = true;
  if (!std::exchange(resets_on_close_, true)) {
    net::set_reset_on_close(bufferevent_getfd(bev_), true);
  }
  bufferevent_write(bev_, head.data(), head.size());
  if (it.shared_body) {
    shared_bytes_ = size;
    write_body(bev_, it.shared_body);
  } else {
    shared_bytes_ = 0;
    write_body(bev_, std::move(it.body));
  }
  // Its fields would be held for as long as the response takes.
  it = {};
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  timer_.start_once(spec_.progress_timeout);
  if (!callbacks_.on_data) {
    total_timer_.start_once(spec_.progress_timeout * max_progress_timeouts);
  }
}

void client_connection::on_read(bufferevent* /*bev*/, void* self) {
  const auto keep = static_cast<client_connection*>(self)->shared_from_this();
  keep->read_input();
}

void client_connection::on_event(bufferevent* bev, short what, void* self) {
  const auto keep = static_cast<client_connection*>(self)->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    set_socket_options(bufferevent_getfd(bev));
    keep->connected_ = true;
    if (keep->active_ && keep->spec_.may_send && !keep->spec_.may_send()) {
      keep->fail(call_outcome::not_connected);
    } else if (keep->active_) {
      keep->write_request();
    }
    return;
  }
  if (!keep->connected_) {
    keep->fail(call_outcome::not_connected);
    return;
  }
  keep->read_input();
  if (keep->active_ && keep->response_.status != 0 && keep->ends_in_order(what)) {
    keep->parser_->finish();
    if (keep->message_done_) {
      keep->keep_alive_ = false;
      keep->take_complete();
      return;
    }
  }
  keep->fail(call_outcome::broken);
}

bool client_connection::ends_in_order(short what) const {
  // After a reset, the write that finds the error takes it from the socket, and the next read sees
  // an end of the input. Both are then reported together.
  const bool is_end = (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
  return is_end && evbuffer_get_length(bufferevent_get_output(bev_)) == 0 &&
         net::is_output_received(bufferevent_getfd(bev_));
}

void client_connection::read_input() {
  if (bev_ == nullptr) {
    return;
  }
  evbuffer* input = bufferevent_get_input(bev_);
  if (!active_) {
    // Bytes that follow a complete response belong to no request.
    retire();
    return;
  }
  timer_.start_once(spec_.progress_timeout);
  while (active_) {
    const std::size_t n = evbuffer_get_contiguous_space(input);
    if (n == 0) {
      return;
    }
    const auto* text =
        reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
    const std::size_t body_before = body_bytes_;
    const std::size_t used = parser_->feed({text, n});
    if (!active_) {
      // A callback cancelled the call.
      return;
    }
    head_bytes_ += used - std::min(used, body_bytes_ - body_before);
    if (parser_->failed() || too_large_ || has_too_much_overhead()) {
      fail(call_outcome::malformed);
      return;
    }
    evbuffer_drain(input, used);
    if (std::exchange(message_done_, false)) {
      take_complete();
    }
  }
}

bool client_connection::take_head(const message_head& head) {
  constexpr int first_final_status = 200;
  if (head.status < first_final_status) {
    skipping_ = true;
    return true;
  }
  response_ = {head.status, head.headers, {}};
  const auto length = integer_header(head.headers, "Content-Length");
  const auto size = static_cast<std::size_t>(length.value_or(0));
  if (size > spec_.max_body_bytes || !budget_->has_room_for(size)) {
    return false;
  }
  input_account_.set_length_known(length.has_value());
  if (collects_body()) {
    response_.body.reserve(size);
  }
  keep_alive_ = head.keep_alive && head.has_length;
  keep_for_ = default_keep;
  const std::string_view keep = net::find_header(head.headers, "Keep-Alive");
  constexpr std::string_view parameter = "timeout=";
  if (const auto at = keep.find(parameter); at != std::string_view::npos) {
    const net::headers field = {
        {"timeout", std::string(keep.substr(at + parameter.size(), keep.find_first_of(", ", at) -
                                                                       at - parameter.size()))}};
    if (const auto stated = integer_header(field, "timeout")) {
      keep_for_ = seconds(std::clamp<std::int64_t>(*stated, 0, max_keep_seconds)) - close_margin;
    }
  }
  skipping_ = callbacks_.on_head && !callbacks_.on_head(response_);
  // Without a length it would take in the response that follows it.
  return !skipping_ || head.has_length;
}

void client_connection::take_data(std::string_view data) {
  body_bytes_ += data.size();
  too_large_ = body_bytes_ > spec_.max_body_bytes;
  if (skipping_ || too_large_) {
    return;
  }
  if (callbacks_.on_data) {
    callbacks_.on_data(data);
  } else if (collects_body()) {
    response_.body.append(data);
    input_account_.set(response_.body.size());
  }
}

void client_connection::take_complete() {
  if (skipping_) {
    skipping_ = false;
    release_memory(response_.body);
    response_ = {};
    body_bytes_ = 0;
    if (++skipped_responses_ > max_skipped_responses) {
      fail(call_outcome::malformed);
    }
    return;
  }
  awaits_response_ = false;
  // Bytes beyond the response are of no request; such a connection is not used again.
  const bool reusable =
      bev_ != nullptr && keep_alive_ && evbuffer_get_length(bufferevent_get_input(bev_)) == 0;
  end(call_outcome::complete);
  if (!active_) {
    if (reusable) {
      idle_since_ = loop_.now();
      pool_.on_idle(shared_from_this());
    } else {
      retire();
    }
  }
}

void client_connection::fail(call_outcome outcome) {
  const auto keep = shared_from_this();
  const bool had_call = active_;
  retire();
  if (had_call) {
    end(outcome);
  }
}

void client_connection::end(call_outcome outcome) {
  active_ = false;
  timer_.cancel();
  total_timer_.cancel();
  const auto callbacks = std::exchange(callbacks_, {});
  release_memory(spec_.message.body);
  spec_ = {};
  // The owner of the call frees the body or adds it to an output.
  input_account_.set(0);
  if (callbacks.on_end) {
    callbacks.on_end(outcome, std::exchange(response_, {}));
  }
}

void client_connection::cancel() {
  if (active_) {
    active_ = false;
    // The callbacks may be what is running now, so they are released later. The owner of the call
    // may hold it, and they and the specification the owner.
    loop_.post([keep = shared_from_this(), callbacks = std::exchange(callbacks_, {}),
                spec = std::exchange(spec_, {})] {});
    retire();
  }
}

void client_connection::close() {
  cancel();
  retire();
}

void client_connection::retire() {
  timer_.cancel();
  total_timer_.cancel();
  input_account_.set(0);
  output_account_.set(0);
  if (bev_ != nullptr) {
    if (resets_on_close_ && !awaits_response_) {
      net::set_reset_on_close(bufferevent_getfd(bev_), false);
    }
    bufferevent_disable(bev_, EV_READ | EV_WRITE);
    bufferevent_setcb(bev_, nullptr, nullptr, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(bev_), &client_connection::on_output, this);
    // The bufferevent may be what is calling; it is closed from the loop, whoever still holds this
    // call.
    loop_.post(
        [keep = shared_from_this(), bev = std::exchange(bev_, nullptr)] { bufferevent_free(bev); });
  }
  pool_.on_closed(*this);
}

} // namespace boragedoor::http1
