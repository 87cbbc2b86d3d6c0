#include "replica_stand_in.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"
#include "base/json_fields.h"
#include "instance/error_response.h"
#include "loopback_address.h"

namespace boragedoor::platform {

namespace {

/// Time that a crashed replica is down.
constexpr duration restart_delay = milliseconds(600);

} // namespace

replica_stand_in::replica_stand_in(net::event_loop& loop, store_stand_in& store, options config)
    : loop_(loop), store_(store), options_(std::move(config)), timer_(loop, [this] { tick(); }),
      restart_timer_(loop, [this] { restart(); }) {
  listen(own_loopback_address());
  timer_.start_periodic(options_.interval);
  announce();
}

void replica_stand_in::listen(const net::address& at) {
  server_ = http1::server::listen(
                loop_, at, [this](const auto& exchange) { on_call(exchange); },
                &instance::listener_refusal)
                .value();
  server_->set_limits({.body_bytes = options_.body_bytes});
  address_ = server_->local_address();
}

void replica_stand_in::crash_and_restart() {
  crash();
  if (restarts) {
    restart_timer_.start_once(restart_delay);
  }
}

void replica_stand_in::restart_with_same_id(const std::string& software) {
  crash();
  ++restarts_;
  if (!software.empty()) {
    options_.software = software;
  }
  listen(address_);
  announce();
}

void replica_stand_in::restart() {
  store_.erase("servers/" + options_.id);
  options_.id += "." + std::to_string(++restarts_);
  listen(address_);
  announce();
}

replica_stand_in::~replica_stand_in() {
  *alive_ = false;
}

void replica_stand_in::announce(const std::string& state) {
  json models = json::array();
  if (!options_.model.empty()) {
    models.push_back(
        {{"name", options_.model}, {"version", options_.version}, {"adapters", json::array()}});
  }
  store_.put("servers/" + options_.id, {{"service", options_.service},
                                        {"address", net::to_string(address_)},
                                        {"zone", options_.zone},
                                        {"version", options_.software},
                                        {"slots", options_.slots},
                                        {"state", state},
                                        {"cold_remaining_ms", 0},
                                        {"models", models},
                                        {"sequence", 1},
                                        {"born", 1 + restarts_}});
}

void replica_stand_in::crash() {
  for (run& it : std::exchange(open_runs_, {})) {
    it.exchange->abort();
  }
  unanswered_.clear();
  server_.reset();
}

void replica_stand_in::on_call(const std::shared_ptr<http1::exchange>& exchange) {
  const http1::request& request = exchange->received();
  const std::string_view expected = net::find_header(request.headers, "Expect-Replica");
  if (!expected.empty() && expected != options_.id) {
    exchange->respond({421, {{"Replica-Id", options_.id}}, {}});
    return;
  }
  if (request.target == "/report") {
    json report = {
        {"stage", "both"}, {"models", {{{"name", options_.model}, {"version", options_.version}}}},
        {"busy", false},   {"sequence", accepted_orders_},
        {"queued", 0},     {"running", open_runs_.size()}};
    if (reports_start) {
      report["born"] = 1 + restarts_;
    }
    exchange->respond({200, {{"Content-Type", "application/json"}}, to_text(report)});
    return;
  }
  if (request.target == "/order") {
    on_order(exchange);
    return;
  }
  last = request;
  ++received;
  if (silent) {
    unanswered_.push_back(exchange);
    return;
  }
  const std::string id(net::find_header(request.headers, "Attempt-Id"));
  if (full) {
    exchange->respond({503, with_state({{"Attempt-Id", id}, {"Not-Executed", "1"}}), {}});
    return;
  }
  executed_ids.push_back(id);
  if (!crashing_target.empty() && request.target == crashing_target) {
    // The server must not be destroyed within its own callback.
    loop_.post([this, exchange] { crash_and_restart(); });
    return;
  }
  if (!options_.model.empty()) {
    start_stream(exchange);
    return;
  }
  if (work == duration::zero()) {
    answer(exchange);
    return;
  }
  loop_.post_after(work, [this, alive = alive_, exchange] {
    if (*alive) {
      answer(exchange);
    }
  });
}

void replica_stand_in::answer(const std::shared_ptr<http1::exchange>& exchange) {
  const std::string id(net::find_header(exchange->received().headers, "Attempt-Id"));
  net::headers headers = {{"Attempt-Id", id}, {"Replica-Load", "1,0,4"}};
  if (!limit.empty()) {
    headers.emplace_back("Server-Limit", limit);
  }
  if (!omit_signature) {
    headers.emplace_back("Response-Signature", "sig-" + id);
  }
  exchange->respond({status, with_state(headers),
                     answer_size == 0 ? "answer to " + id : std::string(answer_size, 'a')});
}

net::headers replica_stand_in::with_state(net::headers list) const {
  if (leaving) {
    list.emplace_back("Server-Leaving", "1");
  }
  return list;
}

void replica_stand_in::start_stream(const std::shared_ptr<http1::exchange>& exchange) {
  const net::headers& request_headers = exchange->received().headers;
  const std::string id(net::find_header(request_headers, "Attempt-Id"));
  net::headers headers = {{"Content-Type", "text/event-stream"},
                          {"Attempt-Id", id},
                          {"Response-Signature", "sig-" + id},
                          {"Weight-Versions", std::to_string(options_.version)}};
  if (!limit.empty()) {
    headers.emplace_back("Server-Limit", limit);
  }
  exchange->start({200, with_state(headers), {}});
  const auto after = http1::integer_header(request_headers, "Last-Event-Id").value_or(0);
  if (after > 0) {
    continued_ids.push_back(id);
  }
  open_runs_.push_back({exchange, static_cast<int>(after) + 1});
}

void replica_stand_in::on_order(const std::shared_ptr<http1::exchange>& exchange) {
  const auto order = parse_json(exchange->received().body);
  const auto fencing_token =
      static_cast<std::uint64_t>(integer_field(order.value(), "fencing_token").value_or(0));
  if (fencing_token < last_fencing_token_) {
    exchange->respond({412, {}, {}});
    return;
  }
  last_fencing_token_ = fencing_token;
  if (integer_field(order.value(), "expected").value_or(0) !=
      static_cast<std::int64_t>(accepted_orders_)) {
    exchange->respond({409, {}, {}});
    return;
  }
  ++accepted_orders_;
  options_.version =
      static_cast<std::uint64_t>(integer_field(order.value(), "version").value_or(0));
  announce();
  exchange->respond({202, {}, {}});
}

void replica_stand_in::tick() {
  for (std::size_t n = open_runs_.size(); n > 0; --n) {
    run it = std::move(open_runs_.front());
    open_runs_.pop_front();
    if (!it.exchange->is_open()) {
      continue;
    }
    const std::string suffix = options_.software == "v1" ? "" : "-" + options_.software;
    it.exchange->send_chunk(fmt::format("id: {}\ndata: t{}{}\n\n", it.next, it.next, suffix));
    if (it.next++ >= options_.events) {
      it.exchange->finish();
    } else {
      open_runs_.push_back(std::move(it));
    }
  }
}

} // namespace boragedoor::platform
