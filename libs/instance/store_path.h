#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "net/http_types.h"

namespace boragedoor::instance {

/// How often `store_path::try_start_probe` is called.
inline constexpr duration probe_check_interval = milliseconds(250);

struct store_path_options {
  /// Time from a failure of the direct path to its first probe, and between two probes.
  duration probe_interval = seconds(1);
  /// Failures in a row, each at another address if there are relays, after which calls are paused.
  int failures_before_pause = 4;
  /// Time between two calls while they are paused.
  duration paused_call_interval = milliseconds(200);
};

/// Selects the path from this instance to the store: directly, or through another instance that
/// relays calls while the store does not serve this one.
///
/// The store may refuse some instances, or be unreachable for them, while it serves the others.
/// Without a relay, such an instance would lose its lease and its jobs.
///
/// When every path fails, the store refuses or lacks all instances. Calls are then paused but for a
/// few that try it again, because each call costs the store as much when it is refused.
class store_path {
public:
  explicit store_path(net::address store, const store_path_options& options = {});

  /// Sets the relay addresses of the other instances.
  void set_relays(std::vector<net::address> relays);

  /// Address to send the next call to.
  [[nodiscard]] const net::address& target() const;
  [[nodiscard]] bool is_direct() const { return !relay_; }
  /// Address to use after `failed_address`; nullopt if there are no relays.
  [[nodiscard]] std::optional<net::address> next_after(const net::address& failed_address) const;

  /// Whether a call may be sent now. While calls are paused, returns true once per interval.
  bool try_start_call(time_point now);
  /// Reports that a call to `address` got no usable response. Returns true if the target changed.
  bool report_failure(const net::address& address, time_point now);
  /// Reports that the store responded to a call sent to `address`. Returns true if the direct path
  /// works again after a failure.
  bool report_success(const net::address& address);
  /// Returns true if the direct path is due for a probe: once per probe interval from its failure
  /// until a call over it succeeds. The caller then sends a call whose result is not needed, and
  /// reports only its success.
  bool try_start_probe(time_point now);

private:
  net::address store_;
  store_path_options options_;
  std::vector<net::address> relays_;
  /// The relay in use; nullopt while the direct path is used.
  std::optional<net::address> relay_;
  /// Whether a call over the direct path failed and none has succeeded since.
  bool direct_failed_ = false;
  time_point next_probe_{};
  int failures_ = 0;
  time_point next_paused_call_{};
};

} // namespace boragedoor::instance
