#include "standin/faulty_server.h"

#include <utility>

namespace boragedoor::standin {

namespace {

// A stand-in itself never gives an idle connection up: only faults close connections.
constexpr duration idle_timeout = std::chrono::hours(1);

// Room for a store value of 1 MiB in which JSON escapes every byte to six characters.
constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;

// How soon a port that could not be taken back is tried again.
constexpr duration listen_retry = milliseconds(20);

} // namespace

result<std::unique_ptr<faulty_server>>
faulty_server::create(net::event_loop& loop, const net::address& listen, call_rules rules) {
  BOOST_OUTCOME_TRY(port, reserved_port::create(listen));
  auto it =
      std::unique_ptr<faulty_server>(new faulty_server(loop, std::move(port), std::move(rules)));
  BOOST_OUTCOME_TRY(it->start_listening());
  return it;
}

faulty_server::faulty_server(net::event_loop& loop, std::unique_ptr<reserved_port> port,
                             call_rules rules)
    : loop_(loop), port_(std::move(port)), rules_(std::move(rules)),
      down_timer_(loop, [this] { drop_connections(); }), up_timer_(loop, [this] {
        if (start_listening()) {
          down_ = false;
        } else {
          up_timer_.start_once(listen_retry);
        }
      }) {}

faulty_server::~faulty_server() {
  drop_connections();
}

const net::address& faulty_server::local_address() const {
  return port_->local_address();
}

result<void> faulty_server::start_listening() {
  net::http_limits limits;
  limits.max_body_bytes = max_body_bytes;
  limits.idle_timeout = idle_timeout;
  auto silent = std::make_shared<bool>(false);
  BOOST_OUTCOME_TRY(
      server,
      net::http_server::listen(loop_, local_address(), limits,
                               [this, silent](const std::shared_ptr<net::http_exchange>& exchange) {
                                 receive(exchange, silent);
                               }));
  generations_.push_back({std::move(server), std::move(silent)});
  return success();
}

void faulty_server::apply(fault it) {
  if (it.kind == fault_kind::crash) {
    plan_.count_use(it.kind);
    crash(it.length);
  } else if (it.kind == fault_kind::vanish) {
    plan_.count_use(it.kind);
    vanished_ = true;
    go_down(duration::zero());
  } else if (it.kind == fault_kind::silent_connections) {
    plan_.count_use(it.kind);
    silence_connections();
  } else if (it.kind == fault_kind::outage && it.mode == "refuse") {
    plan_.count_use(it.kind);
    go_down(it.length);
  } else {
    plan_.add(std::move(it));
  }
}

void faulty_server::crash(duration length) {
  if (rules_.on_crash) {
    rules_.on_crash();
  }
  go_down(length);
}

void faulty_server::go_down(duration length) {
  down_ = true;
  // A server cannot be destroyed inside one of its own callbacks.
  down_timer_.start_once(duration::zero());
  up_timer_.cancel();
  if (!vanished_) {
    up_timer_.start_once(length);
  }
}

void faulty_server::drop_connections() {
  delayed_.clear();
  kept_.clear();
  generations_.clear();
}

void faulty_server::silence_connections() {
  if (generations_.empty()) {
    return;
  }
  for (auto& it : generations_) {
    *it.silent = true;
  }
  generations_.back().server->stop_listening();
  if (!start_listening()) {
    go_down(duration::zero());
  }
}

json faulty_server::stats() const {
  json calls = json::object();
  for (const auto& [kind, n] : calls_) {
    calls[kind] = n;
  }
  json faults = json::object();
  for (const auto& [kind, n] : plan_.uses()) {
    faults[kind] = n;
  }
  return {{"calls", std::move(calls)}, {"faults", std::move(faults)}};
}

void faulty_server::run_after(duration delay, const std::function<void()>& fn) {
  const auto place = delayed_.emplace(delayed_.end());
  *place = std::make_unique<net::timer>(loop_, [this, place, fn] {
    delayed_.erase(place);
    fn();
  });
  (*place)->start_once(delay);
}

void faulty_server::receive(const std::shared_ptr<net::http_exchange>& exchange,
                            const std::shared_ptr<bool>& silent) {
  if (down_) {
    exchange->abort();
    return;
  }
  if (control(*exchange)) {
    return;
  }
  const std::string kind = rules_.classify(exchange->request());
  ++calls_[kind];
  call_behaviour behaviour;
  behaviour.connection_silent = silent;
  bool executed = !*silent;
  if (executed) {
    if (refuse(*exchange, kind)) {
      return;
    }
    behaviour = draw_behaviour(exchange->request(), kind);
    behaviour.connection_silent = silent;
    draw_stall(behaviour, kind, executed);
  }
  const auto it = std::make_shared<call>(exchange, std::move(behaviour),
                                         [this](const auto& waiting) { keep(waiting); });
  if (executed) {
    dispatch(it, kind);
  } else {
    keep(it);
  }
}

bool faulty_server::control(net::http_exchange& exchange) {
  const net::http_request& request = exchange.request();
  if (request.path == "/stats" && request.method == "GET") {
    exchange.respond_json(200, stats());
    return true;
  }
  if (request.path == "/fault") {
    control_faults(exchange);
    return true;
  }
  return false;
}

void faulty_server::control_faults(net::http_exchange& exchange) {
  if (exchange.request().method == "DELETE") {
    exchange.respond_json(200, {{"cleared", clear_faults()}});
    return;
  }
  auto body = parse_json(exchange.request().body);
  if (exchange.request().method != "POST" || !body) {
    exchange.respond_json(400, error_body("invalid_argument", "POST a JSON object or DELETE"));
    return;
  }
  auto it = parse_fault(body.value(), loop_.now());
  if (!it) {
    exchange.respond_json(400, error_body("invalid_argument", it.error().message));
    return;
  }
  exchange.respond_json(200, {{"kind", to_string(it.value().kind)}});
  apply(std::move(it).value());
}

bool faulty_server::refuse(net::http_exchange& exchange, std::string_view kind) {
  const time_point now = loop_.now();
  if (plan_.take(fault_kind::outage, kind, now)) {
    exchange.respond_json(503, error_body("unavailable", "outage"));
    return true;
  }
  if (plan_.take(fault_kind::rate_limit, kind, now)) {
    exchange.respond_json(429, error_body("overloaded", "rate limit"), {{"Retry-After", "1"}});
    return true;
  }
  return false;
}

call_behaviour faulty_server::draw_behaviour(const net::http_request& request,
                                             std::string_view kind) {
  const time_point now = loop_.now();
  call_behaviour behaviour;
  behaviour.lost = plan_.take(fault_kind::lost_answer, kind, now).has_value();
  const std::string own{net::find_header(request.fields, "x-attempt-id")};
  behaviour.attempt = own;
  if (plan_.take(fault_kind::wrong_attempt, kind, now)) {
    behaviour.attempt = own + "-wrong";
  } else if (plan_.take(fault_kind::crossed_attempt, kind, now)) {
    behaviour.attempt = last_attempt_.empty() ? own + "-crossed" : last_attempt_;
  }
  if (!own.empty()) {
    last_attempt_ = own;
  }
  return behaviour;
}

void faulty_server::draw_stall(call_behaviour& behaviour, std::string_view kind, bool& executed) {
  const auto stall = plan_.take(fault_kind::stall, kind, loop_.now());
  if (!stall) {
    return;
  }
  if (stall->mode == "mid_stream") {
    behaviour.frames = stall->frames;
    return;
  }
  behaviour.silent = true;
  executed = stall->executed;
}

void faulty_server::dispatch(const std::shared_ptr<call>& it, std::string_view kind) {
  const time_point now = loop_.now();
  if (const auto slow = plan_.take(fault_kind::slow, kind, now)) {
    it->hold_back();
    run_after(slow->delay, [it] { it->release(); });
  }
  if (const auto late = plan_.take(fault_kind::late_delivery, kind, now)) {
    run_after(late->delay, [this, it] { rules_.handle(it); });
    return;
  }
  rules_.handle(it);
}

void faulty_server::keep(const std::shared_ptr<call>& it) {
  if (!it->is_open()) {
    return;
  }
  kept_.insert(it);
  it->on_caller_left([this, weak = std::weak_ptr(it)] { kept_.erase(weak.lock()); });
}

} // namespace boragedoor::standin
