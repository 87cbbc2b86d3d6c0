#include "daemon/service_task.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/hash.h"

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(100);

// Claims that may come at once, in seconds of the steady rate.
constexpr double claim_burst_seconds = 2;

// A store that is up answers in milliseconds. When it is down, callers are told within this time
// and can ask again, and do not wait for their whole deadline.
constexpr duration claim_wait = seconds(3);

std::string body_hash_of(const service_call_spec& spec) {
  return sha256_hex(spec.method + '\n' + spec.service + '\n' + spec.path + '\n' + spec.body);
}

} // namespace

struct service_task::active_call {
  std::uint64_t number = 0;
  service_call_spec spec;
  service_callbacks callbacks;
  std::optional<chosen_endpoint> endpoint;
  std::shared_ptr<net::http_call> call;
  time_point started;
  duration endpoint_time{};
  int attempts = 0;
  /// Whether bytes of any attempt may have reached an endpoint.
  bool maybe_executed = false;
  /// The call goes through the at-most-once table.
  bool claimed = false;
  /// The caller has its answer or is gone.
  bool detached = false;
  std::vector<std::string> failed_on;
};

result<std::unique_ptr<service_task>> service_task::create(const daemon_context& context,
                                                           endpoint_task& endpoints,
                                                           store::store_client& store) {
  BOOST_OUTCOME_TRY(retries, retry::retry_policy::create({}));
  return std::unique_ptr<service_task>(new service_task(context, endpoints, store, retries));
}

service_task::service_task(const daemon_context& context, endpoint_task& endpoints,
                           store::store_client& store, retry::retry_policy retries)
    : context_(context), endpoints_(endpoints), store_(store),
      timer_(context.loop, [this] { tick(); }), retries_(retries),
      once_(requests::idempotency_table::create(context.settings.instance.id, context.boot_id)) {
  timer_.start_periodic(tick_period);
}

void service_task::on_configuration(const configuration_ptr& configuration) {
  if (configuration->limits.claims_per_second > 0) {
    claims_per_second_ = static_cast<double>(configuration->limits.claims_per_second);
  }
}

void service_task::tick() {
  run(once_.tick(context_.now()));
}

bool service_task::take_claim(time_point now) {
  // Each instance gets an equal part of what the store can take, so that no instance has to ask
  // another one.
  const double rate = claims_per_second_ / static_cast<double>(endpoints_.instances());
  const double passed = std::chrono::duration<double>(now - claims_at_).count();
  claims_at_ = now;
  const double most = std::max(1.0, rate * claim_burst_seconds);
  claims_available_ = std::min(most, claims_available_ + passed * rate);
  if (claims_available_ < 1) {
    return false;
  }
  claims_available_ -= 1;
  return true;
}

std::uint64_t service_task::submit(service_call_spec spec, service_callbacks callbacks) {
  auto it = std::make_shared<active_call>();
  it->number = ++last_number_;
  it->spec = std::move(spec);
  it->callbacks = std::move(callbacks);
  active_[it->number] = it;
  record(events::event_number::request_accepted, *it);
  if (it->spec.idempotent || it->spec.idempotency_key.empty()) {
    send(it);
    return it->number;
  }
  const time_point now = context_.now();
  if (!take_claim(now)) {
    fail(it, {429, "overloaded", "too many calls with an idempotency key", retry::executed::no,
              seconds(1)});
    return it->number;
  }
  it->claimed = true;
  requests::idempotency_call call;
  call.id = it->number;
  call.workspace = it->spec.workspace;
  call.idempotency_key = it->spec.idempotency_key;
  call.body_hash = body_hash_of(it->spec);
  call.deadline = it->spec.deadline;
  call.claim_deadline = now + claim_wait;
  call.wall_deadline = wall_now() + (it->spec.deadline - now);
  call.send_at_once = true;
  run(once_.begin(now, wall_now(), std::move(call)));
  return it->number;
}

service_task::call_ptr service_task::find(std::uint64_t number) const {
  const auto it = active_.find(number);
  return it == active_.end() ? nullptr : it->second;
}

void service_task::run(const requests::idempotency_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { carry_out(it); }, action);
  }
}

void service_task::carry_out(const store_put& it) {
  store_.run(it, [this](const store_write_result& done) {
    run(once_.finish_write(context_.now(), done));
  });
}

void service_task::carry_out(const store_delete& it) {
  store_.run(it, [this](const store_write_result& done) {
    run(once_.finish_write(context_.now(), done));
  });
}

void service_task::carry_out(const store_get& it) {
  store_.run(it, [this](const store_read_result& done) {
    run(once_.finish_read(context_.now(), wall_now(), done));
  });
}

void service_task::carry_out(const requests::request_claimed& it) {
  run(once_.mark_sent(context_.now(), it.id));
}

void service_task::carry_out(const requests::send_request& it) {
  const auto call = find(it.id);
  if (call && !call->detached) {
    send(call);
  } else {
    // The caller left or its key was withdrawn while the claim was written; nothing was sent.
    run(once_.release(context_.now(), it.id));
  }
}

void service_task::carry_out(const requests::idempotency_reply& it) {
  const auto call = find(it.id);
  if (!call) {
    return;
  }
  switch (it.status) {
  case requests::idempotency_status::answer:
    if (it.response.omitted) {
      fail(call, {409,
                  "answer_not_kept",
                  "the request ran and its answer is too large to be repeated",
                  retry::executed::yes,
                  {}});
    } else {
      answer(call, {it.response.status, it.response.content_type, it.response.body});
    }
    return;
  case requests::idempotency_status::in_progress:
    fail(call, {409, "in_progress", "another request with this idempotency key is running",
                retry::executed::unknown, seconds(1)});
    return;
  case requests::idempotency_status::outcome_unknown:
    fail(call, {409,
                "outcome_unknown",
                "the request was sent and its answer is not known; it will not be sent again",
                retry::executed::unknown,
                {}});
    return;
  case requests::idempotency_status::key_conflict:
    fail(call, {422,
                "idempotency_key_conflict",
                "the idempotency key belongs to a different request",
                retry::executed::no,
                {}});
    return;
  case requests::idempotency_status::store_unavailable:
    // This call was not sent, but an earlier one with the key may have run.
    fail(call, {503, "store_unavailable", "the store did not answer; nothing was sent now",
                retry::executed::unknown, seconds(2)});
    return;
  case requests::idempotency_status::not_executed:
    fail(call, {503, "not_executed", "the request was not sent", retry::executed::no, seconds(1)});
    return;
  }
}

void service_task::carry_out(const requests::idempotency_readback& it) {
  if (const auto call = find(it.id)) {
    record(events::event_number::store_readback, *call);
  }
}

void service_task::send(const call_ptr& it) {
  routing::route_request request;
  request.pool = it->spec.pool;
  request.priority = routing::route_class::interactive;
  request.idempotent = it->spec.idempotent;
  request.cheap_allowed = it->spec.idempotent;
  request.excluded = it->failed_on;
  const auto endpoint = endpoints_.choose(request);
  if (!endpoint) {
    if (it->claimed) {
      run(once_.release(context_.now(), it->number));
      return;
    }
    fail(it, {503, "no_endpoint", endpoint.error().message,
              it->maybe_executed ? retry::executed::unknown : retry::executed::no, seconds(1)});
    return;
  }
  ++it->attempts;
  it->endpoint = endpoint.value();
  it->started = context_.now();
  net::http_call_spec spec;
  spec.target = it->endpoint->target;
  spec.method = it->spec.method;
  spec.path = it->spec.path;
  spec.body = it->spec.body;
  if (!it->spec.content_type.empty()) {
    spec.fields.emplace_back("Content-Type", it->spec.content_type);
  }
  const std::string attempt = it->spec.request_id + '.' + std::to_string(it->attempts);
  spec.fields.emplace_back("x-attempt-id", attempt);
  spec.progress_timeout = context_.settings.timing.progress_timeout;
  spec.total_timeout = std::max<duration>(it->spec.deadline - context_.now(), milliseconds(1));
  record(events::event_number::attempt_started, *it, {{"attempt", attempt}});
  net::http_callbacks callbacks;
  callbacks.on_reply = [this, it, attempt](const net::http_reply& reply) {
    if (net::find_header(reply.fields, "x-attempt-id") != attempt) {
      net::http_failure failure;
      failure.cause = {error_code::protocol, "the endpoint answered another attempt"};
      on_send_failure(it, failure);
      return;
    }
    on_reply(it, reply);
  };
  callbacks.on_failure = [this, it](const net::http_failure& failure) {
    on_send_failure(it, failure);
  };
  it->call = context_.http.send(std::move(spec), std::move(callbacks));
}

void service_task::on_reply(const call_ptr& it, const net::http_reply& reply) {
  it->maybe_executed = true;
  end_attempt(*it, routing::health_signal::success);
  retries_.record_success();
  service_answer result{reply.status, std::string(net::find_header(reply.fields, "Content-Type")),
                        reply.body};
  if (it->claimed) {
    requests::stored_response kept{result.status, result.content_type, result.body, false};
    if (result.body.size() > requests::max_stored_response_bytes) {
      kept.body.clear();
      kept.omitted = true;
      // The caller of this one execution still gets the whole answer.
      answer(it, result);
    }
    run(once_.finish(context_.now(), it->number, std::move(kept)));
    return;
  }
  answer(it, result);
}

void service_task::on_send_failure(const call_ptr& it, const net::http_failure& failure) {
  it->maybe_executed = it->maybe_executed || !failure.nothing_sent;
  record(events::event_number::attempt_failed, *it, {{"reason", failure.cause.message}});
  if (it->endpoint) {
    it->failed_on.push_back(it->endpoint->id);
    // Idle connections to an endpoint that went silent are suspect too.
    context_.http.drop_idle(it->endpoint->target);
  }
  end_attempt(*it, failure.cause.code == error_code::timeout
                       ? routing::health_signal::progress_timeout
                       : routing::health_signal::failure);
  if (it->claimed && !failure.nothing_sent) {
    run(once_.finish_unknown(context_.now(), it->number));
    return;
  }
  retry_or_fail(it, failure);
}

void service_task::retry_or_fail(const call_ptr& it, const net::http_failure& failure) {
  retry::failed_attempt failed;
  failed.attempts = it->attempts;
  if (!failure.nothing_sent) {
    failed.progress = retry::possibly_sent{};
  }
  failed.idempotent = it->spec.idempotent;
  failed.deadline = it->spec.deadline;
  const time_point now = context_.now();
  const auto decision = retries_.decide(failed, now, context_.random);
  if (const auto* again = std::get_if<retry::retry_attempt>(&decision)) {
    record(events::event_number::request_retried, *it);
    context_.post_after(again->at - now, [this, it] {
      if (find(it->number)) {
        send(it);
      }
    });
    return;
  }
  if (it->claimed) {
    run(once_.release(now, it->number));
    return;
  }
  const auto ran = it->maybe_executed ? retry::executed::unknown : retry::executed::no;
  fail(it, {502, "endpoint_failed", failure.cause.message, ran, {}});
}

void service_task::end_attempt(active_call& it, std::optional<routing::health_signal> evidence) {
  it.call.reset();
  if (!it.endpoint) {
    return;
  }
  it.endpoint_time += context_.now() - it.started;
  const std::string id = it.endpoint->id;
  it.endpoint.reset();
  endpoints_.finished(id, evidence);
}

void service_task::answer(const call_ptr& it, const service_answer& result) {
  record(events::event_number::request_finished, *it, {{"status", result.status}});
  const auto fn = std::move(it->callbacks.on_answer);
  remove(it);
  if (fn) {
    fn(result);
  }
}

void service_task::fail(const call_ptr& it, const api_error& reason) {
  record(events::event_number::request_refused, *it, {{"reason", reason.code}});
  const auto fn = std::move(it->callbacks.on_failure);
  remove(it);
  if (fn) {
    fn(reason);
  }
}

void service_task::remove(const call_ptr& it) {
  it->callbacks = {};
  if (active_.erase(it->number) == 0 || it->attempts == 0 || it->spec.workspace.empty()) {
    return;
  }
  usage_fact fact;
  fact.key.workspace = it->spec.workspace;
  fact.key.request_class = "service";
  fact.figures.requests = 1;
  fact.figures.endpoint_us = static_cast<std::uint64_t>(it->endpoint_time.count());
  used_.emit(fact);
}

void service_task::cancel(std::uint64_t number) {
  const auto it = find(number);
  if (!it) {
    return;
  }
  record(events::event_number::request_cancelled, *it);
  it->callbacks = {};
  it->detached = true;
  if (it->claimed) {
    // The claim's outcome must be recorded even though nobody waits for it.
    return;
  }
  if (it->call) {
    it->call->cancel();
  }
  end_attempt(*it, std::nullopt);
  remove(it);
}

void service_task::abandon(const call_ptr& it, const api_error& reason) {
  const auto fn = std::move(it->callbacks.on_failure);
  cancel(it->number);
  if (fn) {
    fn(reason);
  }
}

void service_task::on_keys_withdrawn(const std::vector<std::string>& key_ids) {
  std::vector<call_ptr> affected;
  for (const auto& [number, it] : active_) {
    if (!it->detached && std::ranges::find(key_ids, it->spec.key_id) != key_ids.end()) {
      affected.push_back(it);
    }
  }
  for (const auto& it : affected) {
    abandon(it, {401,
                 "key_withdrawn",
                 "the workspace key was withdrawn",
                 it->maybe_executed || it->call || it->claimed ? retry::executed::unknown
                                                               : retry::executed::no,
                 {}});
  }
}

void service_task::on_isolated() {
  std::vector<call_ptr> affected;
  for (const auto& [number, it] : active_) {
    if (!it->detached && !it->spec.key_id.empty()) {
      affected.push_back(it);
    }
  }
  for (const auto& it : affected) {
    abandon(it, {503, "isolated", "this instance lost contact with the others; ask another one",
                 retry::executed::unknown, seconds(1)});
  }
}

void service_task::record(events::event_number number, const active_call& it, json details) {
  events::event entry;
  entry.number = number;
  entry.request = it.spec.request_id;
  entry.workspace = it.spec.workspace;
  if (it.endpoint) {
    entry.endpoint = it.endpoint->id;
  }
  if (!details.is_null()) {
    entry.details = std::move(details);
  }
  context_.record(std::move(entry));
}

} // namespace boragedoor::daemon
