#pragma once

#include <cstddef>
#include <map>

#include "base/time.h"
#include "net/http_types.h"

namespace boragedoor::dispatch {

struct reachability_options {
  /// Number of endpoints that must take no connection, with none that does in between, before the
  /// instance counts as cut off. All endpoints, if there are fewer.
  std::size_t min_unconnected = 3;
  /// Failures older than this are not counted.
  duration failure_retention = seconds(3);
};

/// Tells an instance that is cut off from all endpoints from endpoints that are down.
///
/// Design note: only new connections count. Open ones may go on while new ones are refused, and may
/// hang while new ones work.
class endpoint_reachability {
public:
  explicit endpoint_reachability(const reachability_options& options = {}) : options_(options) {}

  /// Records that an endpoint took no connection. `known_endpoints` is the number of endpoints that
  /// the instance could connect to. Returns true if the instance now counts as cut off and did not
  /// before.
  bool note_unconnected(const net::address& endpoint, std::size_t known_endpoints, time_point now);
  /// Records that an endpoint took a connection. Returns true if the instance counted as cut off.
  bool note_connected();

  [[nodiscard]] bool is_cut_off() const { return cut_off_; }

private:
  reachability_options options_;
  /// Endpoints that took no connection since one last did, with the time of the last failure.
  std::map<net::address, time_point> unconnected_;
  bool cut_off_ = false;
};

} // namespace boragedoor::dispatch
