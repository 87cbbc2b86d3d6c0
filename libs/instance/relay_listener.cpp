#include "instance/relay_listener.h"

#include <utility>

#include "instance/call_limits.h"
#include "instance/error_response.h"
#include "instance/stated_timeout.h"

namespace boragedoor::instance {

namespace {

/// Longest time without a byte of an answer of the store, if the sender does not state its own.
constexpr duration default_timeout = seconds(5);
/// Callers' requests to endpoints have up to the limit of the configuration, and a few more
/// headers.
constexpr std::size_t max_header_bytes = 128UL * 1024;

constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

} // namespace

relay_listener::relay_listener(net::event_loop& loop, net::address store,
                               local_handler handle_locally,
                               std::shared_ptr<http1::byte_budget> budget)
    : client_(loop, std::move(budget)), store_(std::move(store)),
      handle_locally_(std::move(handle_locally)) {}

result<std::unique_ptr<relay_listener>>
relay_listener::listen(net::event_loop& loop, const net::address& address, net::address store,
                       local_handler handle_locally, std::shared_ptr<http1::byte_budget> budget) {
  std::unique_ptr<relay_listener> it(
      new relay_listener(loop, std::move(store), std::move(handle_locally), budget));
  auto server = http1::server::listen(
      loop, address,
      [self = it.get()](const auto& exchange) {
        if (!self->handle_locally_(exchange)) {
          self->relay(exchange);
        }
      },
      &listener_refusal, std::move(budget));
  if (!server) {
    return server.error();
  }
  it->server_ = std::move(server).value();
  it->server_->set_limits({.header_bytes = max_header_bytes, .body_bytes = max_forwarded_bytes});
  return it;
}

void relay_listener::relay(const std::shared_ptr<http1::exchange>& exchange) {
  http1::call_spec spec;
  spec.target = store_;
  spec.max_body_bytes = max_store_answer_bytes;
  exchange->share_body();
  spec.message = {exchange->received().method,
                  exchange->received().target,
                  {},
                  {},
                  exchange->received().shared_body};
  for (const auto& [name, value] : exchange->received().headers) {
    if (!http1::is_hop_by_hop(name) && !http1::equal_ignoring_case(name, timeout_header)) {
      spec.message.headers.emplace_back(name, value);
    }
  }
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = stated_timeout(exchange->received().headers, default_timeout);
  http1::call_callbacks callbacks;
  callbacks.on_end = [exchange](http1::call_outcome outcome, const http1::response& it) {
    if (outcome == http1::call_outcome::complete) {
      const std::string type(net::find_header(it.headers, "Content-Type"));
      exchange->respond({it.status, {{"Content-Type", type}}, it.body});
    } else if (outcome == http1::call_outcome::not_connected) {
      exchange->respond(error_response(service_unavailable, "store_unreachable",
                                       "this instance cannot connect to the store", executed::no));
    } else {
      exchange->respond(error_response(gateway_timeout, "store_silent", "the store did not respond",
                                       executed::unknown));
    }
  };
  const auto call = client_.send(std::move(spec), std::move(callbacks));
  exchange->on_left([call] { call->cancel(); });
}

} // namespace boragedoor::instance
