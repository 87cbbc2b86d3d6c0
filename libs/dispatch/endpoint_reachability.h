#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "base/random.h"
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

/// An endpoint that can be connected to in order to find out whether any takes connections.
struct probe_candidate {
  std::string_view service;
  net::address address;
};

/// Tells an instance that is cut off from all endpoints from endpoints that are down.
///
/// Design note: only new connections count. Open ones may go on while new ones are refused, and may
/// hang while new ones work. Requests that fail do not suffice, because they may all go to one
/// service, whose endpoints can be down together; connections to endpoints of several services have
/// to fail as well.
class endpoint_reachability {
public:
  explicit endpoint_reachability(const reachability_options& options = {}) : options_(options) {}

  /// Records that an endpoint took no connection.
  void note_unconnected(const net::address& endpoint, time_point now);
  /// Records that an endpoint took a connection. Returns true if the instance counted as cut off.
  bool note_connected();

  /// Begins to find out whether any endpoint takes connections. Returns up to `count` endpoints to
  /// connect to, of as many services as possible, and those first that have not failed lately.
  [[nodiscard]] std::vector<net::address> begin_probes(std::vector<probe_candidate> known,
                                                       std::size_t count, time_point now,
                                                       random_engine& random);
  /// Records that the connections to these endpoints have succeeded or failed. Returns true if the
  /// instance now counts as cut off and did not before.
  bool end_probes(time_point now);

  [[nodiscard]] bool is_cut_off() const { return cut_off_; }

private:
  void forget_old_failures(time_point now);

  reachability_options options_;
  /// Endpoints that took no connection since one last did, with the time of the last failure.
  std::map<net::address, time_point> unconnected_;
  /// Endpoints known, and whether one took a connection, since the probes were begun.
  std::size_t known_endpoints_ = 0;
  bool connected_ = false;
  bool cut_off_ = false;
};

} // namespace boragedoor::dispatch
