#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "dispatch/endpoint_reachability.h"
#include "http1/client.h"
#include "http1/exchange.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// A request to an endpoint.
struct endpoint_request {
  net::address endpoint;
  /// Id that the response echoes.
  std::string attempt;
  /// Makes the message. Called each time it is sent, because it states how much time is left.
  std::function<http1::request()> message;
  /// Whether the request may be sent again although the endpoint may have received it.
  bool repeatable = false;
  /// See `http1::call_spec`.
  duration progress_timeout{};
  bool new_connection = false;
};

/// Whether an endpoint takes connections.
enum class endpoint_state { connected, unconnected, unknown };

/// Addresses of some endpoints, and the number of all endpoints.
struct endpoint_sample {
  std::vector<net::address> addresses;
  std::size_t known = 0;
};

/// Sends requests to endpoints and finds out whether this instance is cut off from them.
class endpoint_calls {
public:
  /// Returns up to `count` endpoints, chosen at random.
  using sampler = std::function<endpoint_sample(std::size_t count)>;

  endpoint_calls(net::event_loop& loop, http1::client& client);
  ~endpoint_calls();
  endpoint_calls(const endpoint_calls&) = delete;
  endpoint_calls& operator=(const endpoint_calls&) = delete;
  endpoint_calls(endpoint_calls&&) = delete;
  endpoint_calls& operator=(endpoint_calls&&) = delete;

  /// Sets how endpoints are chosen to find out whether any takes connections.
  void set_sampler(sampler sample) { sample_ = std::move(sample); }

  /// Sends a request. The callbacks are those of `http1::client::send`. If the endpoint takes no
  /// connection, `on_end` waits until it is known whether others do.
  std::shared_ptr<http1::call> send(endpoint_request request, http1::call_callbacks callbacks);

  /// Finds out whether an endpoint takes connections.
  void check(const net::address& endpoint, std::function<void(endpoint_state)> done);

  [[nodiscard]] bool is_cut_off() const { return reachability_.is_cut_off(); }
  /// Emitted when this instance is cut off from all endpoints, and when it no longer is.
  sigc::signal<void(bool cut_off)> cut_off_changed;

private:
  class routed_call;

  void note_connected();
  void note_unconnected(const net::address& endpoint);
  /// Calls `fn` when it is known whether this instance is cut off, after an endpoint took no
  /// connection.
  void decide(std::function<void()> fn);
  /// Connects to some endpoints to find out whether any takes connections.
  void start_probes();
  void on_probe(const net::address& endpoint, bool connected);
  void end_decision();
  void check_silent_calls();
  void remove(routed_call& it);

  net::event_loop& loop_;
  http1::client& client_;
  sampler sample_;
  dispatch::endpoint_reachability reachability_;
  /// Number of endpoints; the maximum until it is known.
  std::size_t known_endpoints_ = std::numeric_limits<std::size_t>::max();
  std::size_t open_probes_ = 0;
  std::vector<std::function<void()>> undecided_;
  /// Calls in progress that have had no response yet.
  std::map<routed_call*, std::weak_ptr<routed_call>> waiting_calls_;
  /// When a byte last arrived from any endpoint.
  time_point last_byte_at_{};
  time_point last_probes_at_{};
  net::timer probe_timer_;
  net::timer silence_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
