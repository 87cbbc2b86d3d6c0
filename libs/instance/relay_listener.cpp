#include "instance/relay_listener.h"

#include <utility>

#include "instance/call_limits.h"
#include "instance/error_response.h"

namespace boragedoor::instance {

namespace {

/// Watches wait a few seconds; the caller has a timeout of its own.
constexpr duration progress_timeout = seconds(5);
/// Values of the store have up to one megabyte, a third more with their encoding.
constexpr std::size_t most_body_bytes = 4UL * 1024 * 1024;

constexpr int nothing_done = 503;
constexpr int outcome_unknown = 504;

} // namespace

relay_listener::relay_listener(net::event_loop& loop, net::address store, own_answer first)
    : calls_(loop), store_(std::move(store)), first_(std::move(first)) {}

result<std::unique_ptr<relay_listener>> relay_listener::listen(net::event_loop& loop,
                                                               const net::address& at,
                                                               net::address store,
                                                               own_answer first) {
  std::unique_ptr<relay_listener> it(new relay_listener(loop, std::move(store), std::move(first)));
  auto server = http1::server::listen(
      loop, at,
      [self = it.get()](const auto& from) {
        if (!self->first_(from)) {
          self->relay(from);
        }
      },
      &listener_refusal);
  if (!server) {
    return server.error();
  }
  it->server_ = std::move(server).value();
  it->server_->set_limits({.body_bytes = most_body_bytes});
  return it;
}

void relay_listener::relay(const std::shared_ptr<http1::exchange>& from) {
  http1::call_spec spec;
  spec.target = store_;
  spec.message = {from->received().method, from->received().target, {}, from->received().body};
  for (const auto& [name, value] : from->received().headers) {
    if (!http1::is_hop_by_hop(name)) {
      spec.message.headers.emplace_back(name, value);
    }
  }
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = progress_timeout;
  http1::call_callbacks callbacks;
  callbacks.on_end = [from](http1::call_outcome outcome, const http1::response& it) {
    if (outcome == http1::call_outcome::complete) {
      const std::string type(net::find_header(it.headers, "Content-Type"));
      from->respond({it.status, {{"Content-Type", type}}, it.body});
    } else if (outcome == http1::call_outcome::not_connected) {
      from->respond(error_response(nothing_done, "store_unreachable",
                                   "this instance does not reach the store", executed::no));
    } else {
      from->respond(error_response(outcome_unknown, "store_silent", "the store did not answer",
                                   executed::unknown));
    }
  };
  const auto call = calls_.send(std::move(spec), std::move(callbacks));
  from->on_left([call] { call->cancel(); });
}

} // namespace boragedoor::instance
