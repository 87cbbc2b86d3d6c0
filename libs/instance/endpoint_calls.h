#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/random.h"
#include "dispatch/connection_check.h"
#include "dispatch/endpoint_reachability.h"
#include "dispatch/relay_selection.h"
#include "dispatch/service_endpoints.h"
#include "http1/client.h"
#include "http1/exchange.h"
#include "instance/endpoint_protocol.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// A request to an endpoint.
struct endpoint_request {
  std::string endpoint;
  net::address address;
  /// Id that the response echoes; empty if the request has none. Other responses belong to other
  /// requests, or to none, and are skipped.
  std::string attempt;
  /// Makes the message. Called each time it is sent, because it states how much time is left.
  std::function<http1::request()> message;
  /// Whether the request may be sent again although the endpoint may have received it.
  bool repeatable = false;
  /// See `http1::call_spec`.
  duration progress_timeout{};
  bool new_connection = false;
  std::size_t max_body_bytes = http1::call_spec().max_body_bytes;
  bool collect_body = true;
};

/// The process of an endpoint to which a request of another instance is forwarded.
struct forward_target {
  net::address address;
  routing::endpoint_process process;
};

/// A response that an endpoint sent in the place of another one.
struct unmatched_response {
  std::string endpoint;
  /// The request that waits, and the one that the response names; empty if it names none.
  std::string attempt;
  std::string answers;
  int status = 0;
};

/// Sends requests to endpoints: directly, or through another instance while this one is cut off
/// from them.
///
/// Design note: the other instance only forwards. Which endpoint gets the request, how often it is
/// tried and what its response means is decided here, so limits, counts and records stay the same.
/// Forwarded requests are not forwarded again.
class endpoint_calls {
public:
  /// Returns all endpoints that this instance knows.
  using endpoint_list = std::function<std::vector<dispatch::probe_candidate>()>;
  /// Returns the process of an endpoint; nothing if this instance does not know the endpoint or
  /// must not send to it.
  using resolver = std::function<std::optional<forward_target>(const std::string& endpoint)>;

  /// `seed` decides which relays are chosen.
  endpoint_calls(net::event_loop& loop, http1::client& client, const endpoint_protocol& protocol,
                 std::uint64_t seed);
  ~endpoint_calls();
  endpoint_calls(const endpoint_calls&) = delete;
  endpoint_calls& operator=(const endpoint_calls&) = delete;
  endpoint_calls(endpoint_calls&&) = delete;
  endpoint_calls& operator=(endpoint_calls&&) = delete;

  /// Sets where the endpoints come from of which some are connected to in order to find out whether
  /// any takes connections.
  void set_known_endpoints(endpoint_list list) { known_endpoints_ = std::move(list); }

  /// Sets how the endpoints of other instances' requests are found.
  void set_resolver(resolver resolve) { resolve_ = std::move(resolve); }
  void set_relays(std::vector<dispatch::endpoint_relay> relays) {
    relays_.set_relays(std::move(relays));
  }

  /// Sends a request. The callbacks are those of `http1::client::send`. If the endpoint takes no
  /// connection, `on_end` waits until it is known whether others do.
  std::shared_ptr<http1::call> send(endpoint_request request, http1::call_callbacks callbacks);

  /// Asks an endpoint for its report. `done` gets what `on_end` of a call gets.
  void request_report(const dispatch::endpoint_entry& entry, duration timeout,
                      std::function<void(http1::call_outcome, const http1::response&)> done);

  /// Finds out whether an endpoint takes connections.
  void check(const std::string& endpoint, const net::address& address,
             std::function<void(dispatch::connection_check)> done);

  /// Forwards a request of another instance. Returns false if it is not a request to an endpoint.
  bool answer(const std::shared_ptr<http1::exchange>& from);

  /// Refuses further requests of other instances, which then ask the next one. Those in progress
  /// continue.
  void stop_forwarding() { forwarding_stopped_ = true; }
  /// Number of requests of other instances in progress.
  [[nodiscard]] std::size_t open_forwards() const { return open_forwards_; }

  [[nodiscard]] bool is_cut_off() const { return reachability_.is_cut_off(); }
  /// Emitted when this instance is cut off from all endpoints, and when it no longer is.
  sigc::signal<void(bool cut_off)> cut_off_changed;
  /// Emitted with the head of each response that this instance forwards to another one.
  sigc::signal<void(const routing::endpoint_process& process, const endpoint_reply& reply)>
      forwarded;
  /// Emitted for each response that is skipped.
  sigc::signal<void(const unmatched_response&)> skipped;
  /// Emitted for each request that is sent through another instance.
  sigc::signal<void()> relayed;

private:
  class routed_call;

  /// Sends a request of another instance to an endpoint and its response back.
  void forward(const std::shared_ptr<http1::exchange>& from, const forward_target& to);
  /// Sends calls on through relays that wait for a link that this instance does not have.
  void reroute_calls();
  void check_directly(const net::address& address,
                      std::function<void(dispatch::connection_check)> done);
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
  const endpoint_protocol& protocol_;
  endpoint_list known_endpoints_;
  resolver resolve_;
  dispatch::relay_selection relays_;
  random_engine random_;
  dispatch::endpoint_reachability reachability_;
  std::size_t open_probes_ = 0;
  std::vector<std::function<void()>> undecided_;
  /// Calls in progress that have had no response yet.
  std::map<routed_call*, std::weak_ptr<routed_call>> waiting_calls_;
  /// When a byte last arrived from any endpoint.
  time_point last_byte_at_{};
  time_point last_probes_at_{};
  bool forwarding_stopped_ = false;
  std::size_t open_forwards_ = 0;
  net::timer probe_timer_;
  net::timer silence_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
