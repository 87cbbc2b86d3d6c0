#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "net/http_types.h"

namespace boragedoor::instance {

struct store_path_options {
  /// How long the direct way is left alone after a failure before it is probed.
  duration probe_interval = seconds(1);
};

/// The way from this instance to the store: directly, or through another instance that relays calls
/// while the store does not serve this one.
///
/// Pattern: the store refuses some instances, or a link to it is cut, while the others are served.
/// Without a relay such an instance would lose its lease and its jobs.
class store_path {
public:
  explicit store_path(net::address store, const store_path_options& options = {});

  /// Relays of the other instances.
  void set_relays(std::vector<net::address> relays);

  /// Where to send the next call.
  [[nodiscard]] const net::address& target() const;
  [[nodiscard]] bool is_direct() const { return !relay_; }
  /// Another way than `failed`; nothing if there is none.
  [[nodiscard]] std::optional<net::address> other_than(const net::address& failed) const;

  /// A call over `way` got no usable answer. Returns true if the way has changed.
  bool failed(const net::address& way, time_point now);
  /// A call over `way` was answered by the store.
  void succeeded(const net::address& way);
  /// Whether to try the direct way with a call that does not matter. True once an interval.
  bool take_probe(time_point now);

private:
  net::address store_;
  store_path_options options_;
  std::vector<net::address> relays_;
  /// The relay in use; none while the direct way works.
  std::optional<net::address> relay_;
  time_point next_probe_{};
};

} // namespace boragedoor::instance
