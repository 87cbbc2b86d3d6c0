#include "instance/endpoint_calls.h"

#include <algorithm>
#include <utility>

#include "instance/call_limits.h"

namespace boragedoor::instance {

namespace {

/// Endpoints that are connected to at a time to find out whether any takes connections.
constexpr std::size_t probes_at_once = 3;
/// Interval of these connections while this instance is cut off.
constexpr duration probe_interval = milliseconds(250);
/// A request without a response for this long, while no endpoint sends anything, may mean that this
/// instance is cut off. Endpoints are then connected to, at most once in `min_probe_pause`.
constexpr duration silence_limit = milliseconds(100);
constexpr duration min_probe_pause = milliseconds(500);

} // namespace

/// A request to an endpoint and the call that carries it.
class endpoint_calls::routed_call : public http1::call,
                                    public std::enable_shared_from_this<routed_call> {
public:
  routed_call(endpoint_calls& owner, endpoint_request request, http1::call_callbacks callbacks)
      : owner_(owner), request_(std::move(request)), callbacks_(std::move(callbacks)) {}

  void send_directly() {
    sent_at_ = owner_.loop_.now();
    http1::call_spec spec;
    spec.target = request_.endpoint;
    spec.message = request_.message();
    spec.connect_timeout = connect_timeout;
    spec.progress_timeout = request_.progress_timeout;
    spec.new_connection = request_.new_connection;
    spec.may_send = [self = shared_from_this()] {
      self->owner_.note_connected();
      return true;
    };
    http1::call_callbacks callbacks = response_callbacks();
    callbacks.on_end = [self = shared_from_this()](http1::call_outcome outcome,
                                                   http1::response response) {
      self->on_direct_end(outcome, std::move(response));
    };
    call_ = owner_.client_.send(std::move(spec), std::move(callbacks));
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
  http1::call_callbacks response_callbacks() {
    http1::call_callbacks callbacks;
    callbacks.on_head = [self = shared_from_this()](const http1::response& head) {
      self->owner_.last_byte_at_ = self->owner_.loop_.now();
      self->owner_.remove(*self);
      return !self->callbacks_.on_head || self->callbacks_.on_head(head);
    };
    if (callbacks_.on_data) {
      callbacks.on_data = [self = shared_from_this()](std::string_view data) {
        self->owner_.last_byte_at_ = self->owner_.loop_.now();
        self->callbacks_.on_data(data);
      };
    }
    return callbacks;
  }

  void on_direct_end(http1::call_outcome outcome, http1::response response) {
    call_.reset();
    if (outcome != http1::call_outcome::not_connected) {
      end(outcome, std::move(response));
      return;
    }
    owner_.note_unconnected(request_.endpoint);
    owner_.decide([self = shared_from_this()] {
      if (!self->ended_) {
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
  bool ended_ = false;
};

endpoint_calls::endpoint_calls(net::event_loop& loop, http1::client& client)
    : loop_(loop), client_(client), probe_timer_(loop, [this] { start_probes(); }),
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
  it->send_directly();
  return it;
}

void endpoint_calls::remove(routed_call& it) {
  waiting_calls_.erase(&it);
}

void endpoint_calls::check(const net::address& endpoint, std::function<void(endpoint_state)> done) {
  client_.probe(endpoint, connect_timeout,
                [this, alive = alive_, endpoint, done = std::move(done)](bool connected) {
                  if (!*alive) {
                    return;
                  }
                  if (connected) {
                    note_connected();
                    done(endpoint_state::connected);
                    return;
                  }
                  note_unconnected(endpoint);
                  decide([this, done] {
                    done(is_cut_off() ? endpoint_state::unknown : endpoint_state::unconnected);
                  });
                });
}

void endpoint_calls::note_connected() {
  if (reachability_.note_connected()) {
    probe_timer_.cancel();
    cut_off_changed.emit(false);
  }
  end_decision();
}

void endpoint_calls::note_unconnected(const net::address& endpoint) {
  if (reachability_.note_unconnected(endpoint, known_endpoints_, loop_.now())) {
    probe_timer_.start_periodic(probe_interval);
    cut_off_changed.emit(true);
    end_decision();
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
  const endpoint_sample sample = sample_ ? sample_(probes_at_once) : endpoint_sample{};
  known_endpoints_ = sample.known;
  open_probes_ = sample.addresses.size();
  if (open_probes_ == 0) {
    end_decision();
    return;
  }
  for (const net::address& it : sample.addresses) {
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
  if (open_probes_ == 0) {
    end_decision();
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
