#include "bench/decisions.h"

namespace boragedoor::bench {

namespace {

template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

// A call shorter than a load report is old waits better at an endpoint than for a place that the
// reports cannot show in time.
constexpr int short_call_overcommit = 2;

std::string_view name_of(pool it) {
  return it == pool::engines ? "engines" : "services";
}

} // namespace

result<decisions> decisions::create(const decision_options& options) {
  BOOST_OUTCOME_TRY(health, routing::endpoint_health::create({}));
  BOOST_OUTCOME_TRY(hints, routing::prefix_cache_hints::create({}));
  decisions out(options, std::move(health), std::move(hints));
  if (options.parts.routing) {
    BOOST_OUTCOME_TRY(router, routing::router::create(options.router));
    out.router_ = std::move(router);
  }
  if (options.parts.admission) {
    BOOST_OUTCOME_TRY(engines, admission::admission_controller::create({}));
    out.engine_admission_ = std::move(engines);
    admission::admission_options services;
    services.initial_place_rate = 20;
    BOOST_OUTCOME_TRY(calls, admission::admission_controller::create(services));
    out.service_admission_ = std::move(calls);
  }
  if (options.parts.retry) {
    BOOST_OUTCOME_TRY(retry, retry::retry_policy::create({}));
    out.retry_ = retry;
    BOOST_OUTCOME_TRY(hedges, retry::hedge_policy::create({}));
    out.hedges_ = std::move(hedges);
  }
  return out;
}

decisions::decisions(const decision_options& options, routing::endpoint_health judge,
                     routing::prefix_cache_hints cache)
    : health(std::move(judge)), hints(std::move(cache)),
      router_(routing::naive_router(options.first_endpoint)),
      engine_admission_(admission::naive_admission(options.naive_engine_tokens)),
      service_admission_(admission::naive_admission(options.naive_service_tokens)),
      retry_(retry::naive_retry{}), random_(options.seed) {}

result<routing::route_choice> decisions::route(const routing::route_request& request,
                                               time_point now) {
  return std::visit(overloaded{[&](routing::naive_router& it) { return it.choose(request, table); },
                               [&](routing::router& it) {
                                 return it.choose(request, table, health, hints, now, random_);
                               }},
                    router_);
}

admission::admission_decision decisions::submit(pool where, const admission::admission_request& it,
                                                time_point now) {
  return std::visit(
      overloaded{[&](admission::naive_admission& one) {
                   one.submit(it);
                   return admission::admission_decision(admission::accepted{it.stated_tokens});
                 },
                 [&](admission::admission_controller& one) { return one.submit(it, now); }},
      part(where));
}

int decisions::places(pool where, int running, int instances) const {
  int total = 0;
  int outstanding = 0;
  table.for_each([&](const routing::endpoint& it) {
    if (it.pool == name_of(where) && it.state == routing::endpoint_state::ready &&
        health.usable(it.id)) {
      total += it.max_running;
      outstanding += table.outstanding(it.id);
    }
  });
  total *= where == pool::services ? short_call_overcommit : 1;
  return admission::max_running_of_instance(running, total, outstanding, instances);
}

admission::admission_actions decisions::poll(pool where, int instances, time_point now) {
  if (auto* it = controller(where)) {
    it->set_max_running(places(where, it->running(), instances));
    return it->poll(now);
  }
  return std::get<admission::naive_admission>(part(where)).poll(now);
}

void decisions::finish(pool where, std::uint64_t id, int tokens, bool complete, time_point now) {
  if (auto* it = controller(where)) {
    it->finish(id, tokens, complete, now);
    return;
  }
  std::get<admission::naive_admission>(part(where)).finish(id);
}

void decisions::cancel(pool where, std::uint64_t id, time_point now) {
  if (auto* it = controller(where)) {
    it->cancel(id, now);
    return;
  }
  // The naive queue finds out by the deadline when it comes to the entry.
  std::get<admission::naive_admission>(part(where)).finish(id);
}

retry::retry_decision decisions::retry(const retry::failed_attempt& it, time_point now) {
  return std::visit(
      overloaded{[&](retry::naive_retry&) { return retry::naive_retry::decide(it, now); },
                 [&](retry::retry_policy& one) { return one.decide(it, now, random_); }},
      retry_);
}

void decisions::record_success() {
  if (auto* it = std::get_if<retry::retry_policy>(&retry_)) {
    it->record_success();
  }
}

admission::admission_controller* decisions::controller(pool where) {
  return std::get_if<admission::admission_controller>(&part(where));
}

} // namespace boragedoor::bench
