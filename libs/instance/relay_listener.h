#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "http1/client.h"
#include "http1/server.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Forwards calls to the store for other instances that the store does not serve. If the store does
/// not respond, the status tells whether it may have received the call: 503 if not, 504 otherwise.
class relay_listener {
public:
  /// Handles a call locally. Returns false if the call must be forwarded to the store.
  using local_handler = std::function<bool(const std::shared_ptr<http1::exchange>& exchange)>;

  /// Listens on `address`. Fails with `io` if the address is in use.
  static result<std::unique_ptr<relay_listener>>
  listen(net::event_loop& loop, const net::address& address, net::address store,
         local_handler handle_locally, std::shared_ptr<http1::byte_budget> budget = nullptr);

  [[nodiscard]] const net::address& local_address() const { return server_->local_address(); }
  /// Whether part of a response is not sent yet.
  [[nodiscard]] bool has_output() const { return server_->has_output(); }

private:
  relay_listener(net::event_loop& loop, net::address store, local_handler handle_locally,
                 std::shared_ptr<http1::byte_budget> budget);
  void relay(const std::shared_ptr<http1::exchange>& exchange);

  http1::client client_;
  net::address store_;
  local_handler handle_locally_;
  std::unique_ptr<http1::server> server_;
};

} // namespace boragedoor::instance
