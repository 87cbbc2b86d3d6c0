#include "instance/endpoint_calls.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "instance/call_limits.h"
#include "instance/stated_timeout.h"

namespace boragedoor::instance {

using dispatch::connection_check;

namespace {

/// Endpoints that are connected to at a time to find out whether any takes connections.
constexpr std::size_t probes_at_once = 3;
/// Interval of these connections while this instance is cut off.
constexpr duration probe_interval = milliseconds(250);
/// A request without a response for this long, while no endpoint sends anything, may mean that this
/// instance is cut off. Endpoints are then connected to, at most once in `min_probe_pause`.
constexpr duration silence_limit = milliseconds(100);
constexpr duration min_probe_pause = milliseconds(500);

/// Relays that are tried for one request. One that is cut off says so within milliseconds.
constexpr std::size_t max_relays = 16;

/// Headers between instances. A request names the endpoint and the attempt; `connection_header`
/// asks for a new connection, and `check_header` only whether the endpoint takes connections.
constexpr std::string_view endpoint_header = "Boragedoor-Endpoint";
constexpr std::string_view attempt_header = "Boragedoor-Attempt";
constexpr std::string_view connection_header = "Boragedoor-Connection";
constexpr std::string_view check_header = "Boragedoor-Check";
/// In each response of a relay: "response" if it is that of the endpoint, otherwise why there is
/// none.
constexpr std::string_view outcome_header = "Boragedoor-Outcome";
constexpr std::string_view endpoint_response = "response";
constexpr std::string_view relay_cut_off = "cut_off";

constexpr std::string_view new_connection = "new";

constexpr int ok = 200;
constexpr int bad_gateway = 502;

bool is_relay_header(std::string_view name) {
  constexpr std::array names = {endpoint_header, attempt_header, connection_header,
                                check_header,    timeout_header, outcome_header};
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view it) { return http1::equal_ignoring_case(it, name); });
}

void remove_relay_headers(net::headers& list) {
  std::erase_if(list, [](const auto& it) { return is_relay_header(it.first); });
}

http1::call_outcome outcome_from(std::string_view text) {
  for (const auto it : {http1::call_outcome::not_connected, http1::call_outcome::timed_out,
                        http1::call_outcome::malformed, http1::call_outcome::invalid_request}) {
    if (text == to_string(it)) {
      return it;
    }
  }
  return http1::call_outcome::broken;
}

} // namespace

/// A request to an endpoint and the call that carries it.
class endpoint_calls::routed_call : public http1::call,
                                    public std::enable_shared_from_this<routed_call> {
public:
  routed_call(endpoint_calls& owner, endpoint_request request, http1::call_callbacks callbacks)
      : owner_(owner), request_(std::move(request)), callbacks_(std::move(callbacks)) {}

  void send() {
    may_relay_ = true;
    if (!owner_.is_cut_off() || !send_through_relay()) {
      send_directly();
    }
  }

  /// Sends the request to the endpoint. Uses a relay only after `send`.
  void send_directly() {
    sent_at_ = owner_.loop_.now();
    http1::call_spec spec = make_spec();
    spec.target = request_.address;
    spec.response_id = request_.attempt;
    spec.may_send = [self = shared_from_this()] {
      self->connected_ = true;
      self->owner_.note_connected();
      return true;
    };
    connected_ = !request_.new_connection;
    http1::call_callbacks callbacks;
    callbacks.on_head = [self = shared_from_this()](const http1::response& head) {
      self->note_byte();
      if (!self->belongs_here(head)) {
        return false;
      }
      self->owner_.remove(*self);
      return !self->callbacks_.on_head || self->callbacks_.on_head(head);
    };
    if (callbacks_.on_data) {
      callbacks.on_data = [self = shared_from_this()](std::string_view data) {
        self->note_byte();
        self->callbacks_.on_data(data);
      };
    }
    callbacks.on_end = [self = shared_from_this()](http1::call_outcome outcome,
                                                   http1::response response) {
      self->on_direct_end(outcome, std::move(response));
    };
    call_ = owner_.client_.send(std::move(spec), std::move(callbacks));
  }

  /// Sends the request through a relay instead, if the endpoint cannot have received it or may
  /// receive it again.
  void reroute() {
    if (ended_ || !call_ || relay_ || (connected_ && !request_.repeatable)) {
      return;
    }
    const auto direct = std::exchange(call_, nullptr);
    if (send_through_relay()) {
      direct->cancel();
    } else {
      call_ = direct;
    }
  }

  void cancel() override {
    if (std::exchange(ended_, true)) {
      return;
    }
    if (call_) {
      call_->cancel();
    }
    owner_.loop_.post([keep = shared_from_this(), callbacks = std::exchange(callbacks_, {})] {});
    owner_.remove(*this);
  }

  [[nodiscard]] time_point sent_at() const { return sent_at_; }

private:
  void note_byte() { owner_.last_byte_at_ = owner_.loop_.now(); }

  /// Whether a response is that of this request.
  bool belongs_here(const http1::response& head) {
    std::string answers = owner_.protocol_.read(head).attempt;
    if (answers == request_.attempt) {
      return true;
    }
    owner_.skipped.emit({.endpoint = request_.endpoint,
                         .attempt = request_.attempt,
                         .answers = std::move(answers),
                         .status = head.status});
    return false;
  }

  http1::call_spec make_spec() const {
    http1::call_spec spec;
    spec.message = request_.message();
    spec.connect_timeout = connect_timeout;
    spec.progress_timeout = request_.progress_timeout;
    spec.new_connection = request_.new_connection;
    spec.max_body_bytes = request_.max_body_bytes;
    spec.collect_body = request_.collect_body;
    return spec;
  }

  /// Returns false if there is no relay left to try.
  bool send_through_relay() {
    relay_ = may_relay_ && tried_relays_.size() < max_relays
                 ? owner_.relays_.choose(tried_relays_, owner_.loop_.now(), owner_.random_)
                 : std::nullopt;
    if (!relay_) {
      return false;
    }
    tried_relays_.push_back(*relay_);
    owner_.remove(*this);
    owner_.relayed.emit();
    relay_outcome_.reset();
    http1::call_spec spec = make_spec();
    spec.target = *relay_;
    net::headers& headers = spec.message.headers;
    // Those of a caller must not decide where the request goes.
    remove_relay_headers(headers);
    headers.emplace_back(endpoint_header, request_.endpoint);
    headers.emplace_back(attempt_header, request_.attempt);
    state_timeout(headers, request_.progress_timeout);
    if (request_.new_connection) {
      headers.emplace_back(connection_header, new_connection);
    }
    http1::call_callbacks callbacks;
    callbacks.on_head = [self = shared_from_this()](const http1::response& head) {
      return self->on_relay_head(head);
    };
    if (callbacks_.on_data) {
      callbacks.on_data = [self = shared_from_this()](std::string_view data) {
        if (self->relay_outcome_ == endpoint_response) {
          self->callbacks_.on_data(data);
        }
      };
    }
    callbacks.on_end = [self = shared_from_this()](http1::call_outcome outcome,
                                                   http1::response response) {
      self->on_relay_end(outcome, std::move(response));
    };
    call_ = owner_.client_.send(std::move(spec), std::move(callbacks));
    return true;
  }

  bool on_relay_head(const http1::response& head) {
    relay_outcome_ = net::find_header(head.headers, outcome_header);
    if (relay_outcome_ != endpoint_response) {
      return true;
    }
    owner_.relays_.note_forwarded(*relay_);
    if (!belongs_here(head)) {
      // An instance of an earlier version has passed it on. No other response follows.
      relay_outcome_ = to_string(http1::call_outcome::broken);
      return true;
    }
    if (!callbacks_.on_head) {
      return true;
    }
    http1::response endpoint_head = head;
    remove_relay_headers(endpoint_head.headers);
    return callbacks_.on_head(endpoint_head);
  }

  void on_relay_end(http1::call_outcome outcome, http1::response response) {
    call_.reset();
    if (relay_outcome_ == endpoint_response) {
      remove_relay_headers(response.headers);
      end(outcome, std::move(response));
      return;
    }
    const bool relay_failed =
        outcome == http1::call_outcome::not_connected || relay_outcome_ == relay_cut_off;
    if (relay_failed) {
      owner_.relays_.note_failed(*relay_, owner_.loop_.now());
      if (!send_through_relay()) {
        end(http1::call_outcome::not_connected, {});
      }
      return;
    }
    end(relay_outcome_ ? outcome_from(*relay_outcome_) : outcome, {});
  }

  void on_direct_end(http1::call_outcome outcome, http1::response response) {
    call_.reset();
    if (outcome != http1::call_outcome::not_connected) {
      end(outcome, std::move(response));
      return;
    }
    owner_.note_unconnected(request_.address);
    owner_.decide([self = shared_from_this()] {
      if (!self->ended_ && (!self->owner_.is_cut_off() || !self->send_through_relay())) {
        self->end(http1::call_outcome::not_connected, {});
      }
    });
  }

  void end(http1::call_outcome outcome, http1::response response) {
    ended_ = true;
    owner_.remove(*this);
    const auto callbacks = std::exchange(callbacks_, {});
    callbacks.on_end(outcome, std::move(response));
  }

  endpoint_calls& owner_;
  endpoint_request request_;
  http1::call_callbacks callbacks_;
  std::shared_ptr<http1::call> call_;
  time_point sent_at_{};
  /// Whether the endpoint may have received the request.
  bool connected_ = false;
  bool ended_ = false;
  bool may_relay_ = false;
  /// The relay in use, those that were tried, and what the relay says about the response.
  std::optional<net::address> relay_;
  std::vector<net::address> tried_relays_;
  std::optional<std::string> relay_outcome_;
};

endpoint_calls::endpoint_calls(net::event_loop& loop, http1::client& client,
                               const endpoint_protocol& protocol, std::uint64_t seed)
    : loop_(loop), client_(client), protocol_(protocol), random_(seed),
      probe_timer_(loop, [this] { start_probes(); }),
      silence_timer_(loop, [this] { check_silent_calls(); }) {}

endpoint_calls::~endpoint_calls() {
  *alive_ = false;
}

std::shared_ptr<http1::call> endpoint_calls::send(endpoint_request request,
                                                  http1::call_callbacks callbacks) {
  const auto it = std::make_shared<routed_call>(*this, std::move(request), std::move(callbacks));
  if (waiting_calls_.empty()) {
    silence_timer_.start_once(silence_limit);
  }
  waiting_calls_[it.get()] = it;
  it->send();
  return it;
}

void endpoint_calls::remove(routed_call& it) {
  waiting_calls_.erase(&it);
}

void endpoint_calls::request_report(
    const dispatch::endpoint_entry& entry, duration timeout,
    std::function<void(http1::call_outcome, const http1::response&)> done) {
  endpoint_request request{
      .endpoint = entry.description.id,
      .address = entry.address,
      .attempt = {},
      .message = [this, id = entry.description.id] { return protocol_.report(id); },
      .repeatable = true,
      .progress_timeout = timeout};
  http1::call_callbacks callbacks;
  callbacks.on_end = std::move(done);
  send(std::move(request), std::move(callbacks));
}

void endpoint_calls::check(const std::string& endpoint, const net::address& address,
                           std::function<void(connection_check)> done) {
  const auto relay = is_cut_off() ? relays_.choose({}, loop_.now(), random_) : std::nullopt;
  if (!relay) {
    check_directly(address, std::move(done));
    return;
  }
  http1::call_spec spec;
  spec.target = *relay;
  spec.message.headers = {{"Host", net::to_string(*relay)},
                          {std::string(endpoint_header), endpoint},
                          {std::string(check_header), "1"}};
  spec.connect_timeout = connect_timeout;
  http1::call_callbacks callbacks;
  callbacks.on_end = [done = std::move(done)](http1::call_outcome outcome,
                                              const http1::response& response) {
    const std::string_view found = net::find_header(response.headers, outcome_header);
    if (outcome != http1::call_outcome::complete || found == relay_cut_off) {
      done(connection_check::unknown);
    } else {
      done(found == endpoint_response ? connection_check::connected
                                      : connection_check::unconnected);
    }
  };
  client_.send(std::move(spec), std::move(callbacks));
}

void endpoint_calls::check_directly(const net::address& address,
                                    std::function<void(connection_check)> done) {
  client_.probe(address, connect_timeout,
                [this, alive = alive_, address, done = std::move(done)](bool connected) {
                  if (!*alive) {
                    return;
                  }
                  if (connected) {
                    note_connected();
                    done(connection_check::connected);
                    return;
                  }
                  note_unconnected(address);
                  decide([this, done] {
                    done(is_cut_off() ? connection_check::unknown : connection_check::unconnected);
                  });
                });
}

bool endpoint_calls::answer(const std::shared_ptr<http1::exchange>& from) {
  const net::headers& headers = from->received().headers;
  const std::string endpoint(net::find_header(headers, endpoint_header));
  if (endpoint.empty()) {
    return false;
  }
  const auto respond = [from](int status, std::string_view outcome) {
    from->respond({status, {{std::string(outcome_header), std::string(outcome)}}, {}});
  };
  const auto to = resolve_ ? resolve_(endpoint) : std::nullopt;
  // Instances of earlier versions know no other outcome that makes them ask the next one.
  const bool is_check = !net::find_header(headers, check_header).empty();
  if (is_cut_off() || forwarding_stopped_ || (!to && is_check)) {
    respond(bad_gateway, relay_cut_off);
  } else if (!to) {
    respond(bad_gateway, to_string(http1::call_outcome::not_connected));
  } else if (is_check) {
    check_directly(to->address, [respond](connection_check state) {
      switch (state) {
      case connection_check::connected:
        respond(ok, endpoint_response);
        return;
      case connection_check::unconnected:
        respond(bad_gateway, to_string(http1::call_outcome::not_connected));
        return;
      case connection_check::unknown:
        respond(bad_gateway, relay_cut_off);
        return;
      }
    });
  } else {
    forward(from, *to);
  }
  return true;
}

void endpoint_calls::forward(const std::shared_ptr<http1::exchange>& from,
                             const forward_target& to) {
  from->share_body();
  const http1::request& received = from->received();
  http1::request message{received.method, received.target, {}, {}, received.shared_body};
  for (const auto& [name, value] : received.headers) {
    if (!http1::is_hop_by_hop(name) && !is_relay_header(name)) {
      message.headers.emplace_back(name, value);
    }
  }
  endpoint_request request{
      .endpoint = std::string(net::find_header(received.headers, endpoint_header)),
      .address = to.address,
      .attempt = std::string(net::find_header(received.headers, attempt_header)),
      .message = [message = std::move(message)] { return message; },
      .progress_timeout = stated_timeout(received.headers, max_stated_timeout),
      .new_connection = net::find_header(received.headers, connection_header) == new_connection,
      .max_body_bytes = max_forwarded_bytes};
  // Dropped with the callbacks, however the request ends.
  ++open_forwards_;
  const std::shared_ptr<void> open(nullptr, [this, alive = alive_](void*) {
    if (*alive) {
      --open_forwards_;
    }
  });
  const auto started = std::make_shared<bool>(false);
  http1::call_callbacks callbacks;
  callbacks.on_head = [this, from, started, process = to.process](const http1::response& head) {
    forwarded.emit(process, protocol_.read(head));
    *started = true;
    net::headers headers = protocol_.forwarded_headers(head);
    remove_relay_headers(headers);
    headers.emplace_back(outcome_header, endpoint_response);
    from->start({head.status, std::move(headers), {}});
    return true;
  };
  callbacks.on_data = [from](std::string_view data) { from->send_chunk(data); };
  callbacks.on_end = [this, from, started, open](http1::call_outcome outcome,
                                                 const http1::response&) {
    if (!*started) {
      const bool cut_off = outcome == http1::call_outcome::not_connected && is_cut_off();
      from->respond({bad_gateway,
                     {{std::string(outcome_header),
                       std::string(cut_off ? relay_cut_off : to_string(outcome))}},
                     {}});
    } else if (outcome == http1::call_outcome::complete) {
      from->finish();
    } else {
      from->break_off();
    }
  };
  const auto call = std::make_shared<routed_call>(*this, std::move(request), std::move(callbacks));
  call->send_directly();
  from->on_left([call] { call->cancel(); });
}

void endpoint_calls::note_connected() {
  if (reachability_.note_connected()) {
    probe_timer_.cancel();
    cut_off_changed.emit(false);
  }
  end_decision();
}

void endpoint_calls::note_unconnected(const net::address& endpoint) {
  reachability_.note_unconnected(endpoint, loop_.now());
}

void endpoint_calls::reroute_calls() {
  std::vector<std::shared_ptr<routed_call>> calls;
  for (const auto& [key, it] : waiting_calls_) {
    if (auto call = it.lock()) {
      calls.push_back(std::move(call));
    }
  }
  for (const auto& it : calls) {
    it->reroute();
  }
}

void endpoint_calls::decide(std::function<void()> fn) {
  if (is_cut_off()) {
    fn();
    return;
  }
  undecided_.push_back(std::move(fn));
  start_probes();
}

void endpoint_calls::start_probes() {
  if (open_probes_ > 0) {
    return;
  }
  last_probes_at_ = loop_.now();
  const std::vector<net::address> probed = reachability_.begin_probes(
      known_endpoints_ ? known_endpoints_() : std::vector<dispatch::probe_candidate>(),
      probes_at_once, loop_.now(), random_);
  open_probes_ = probed.size();
  if (open_probes_ == 0) {
    end_decision();
    return;
  }
  for (const net::address& it : probed) {
    client_.probe(it, connect_timeout, [this, alive = alive_, it](bool connected) {
      if (*alive) {
        on_probe(it, connected);
      }
    });
  }
}

void endpoint_calls::on_probe(const net::address& endpoint, bool connected) {
  --open_probes_;
  if (connected) {
    note_connected();
  } else {
    note_unconnected(endpoint);
  }
  if (open_probes_ > 0) {
    return;
  }
  const bool newly_cut_off = reachability_.end_probes(loop_.now());
  if (newly_cut_off) {
    probe_timer_.start_periodic(probe_interval);
    cut_off_changed.emit(true);
  }
  end_decision();
  if (newly_cut_off) {
    reroute_calls();
  }
}

void endpoint_calls::end_decision() {
  for (const auto& it : std::exchange(undecided_, {})) {
    it();
  }
}

void endpoint_calls::check_silent_calls() {
  const time_point now = loop_.now();
  const bool silent =
      std::any_of(waiting_calls_.begin(), waiting_calls_.end(), [&](const auto& it) {
        const auto call = it.second.lock();
        return call && now - call->sent_at() >= silence_limit && last_byte_at_ < call->sent_at();
      });
  if (silent && !is_cut_off() && now - last_probes_at_ >= min_probe_pause) {
    start_probes();
  }
  if (!waiting_calls_.empty()) {
    silence_timer_.start_once(silence_limit);
  }
}

} // namespace boragedoor::instance
