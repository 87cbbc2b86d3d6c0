#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "http1/client.h"
#include "http1/server.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Passes calls of other instances on to the store, for those that the store does not serve. An
/// answer of its own says whether the store may have seen the call: 503 if not, 504 otherwise.
class relay_listener {
public:
  /// Answers a call itself; false for one that is to be passed on.
  using own_answer = std::function<bool(const std::shared_ptr<http1::exchange>& from)>;

  /// Fails with `io` when the address is in use.
  static result<std::unique_ptr<relay_listener>>
  listen(net::event_loop& loop, const net::address& at, net::address store, own_answer first);

  [[nodiscard]] const net::address& local_address() const { return server_->local_address(); }

private:
  relay_listener(net::event_loop& loop, net::address store, own_answer first);
  void relay(const std::shared_ptr<http1::exchange>& from);

  http1::client calls_;
  net::address store_;
  own_answer first_;
  std::unique_ptr<http1::server> server_;
};

} // namespace boragedoor::instance
