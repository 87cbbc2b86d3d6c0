#include "daemon/completion_task.h"

#include <algorithm>
#include <utility>

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(100);

// Wait before an endpoint is looked for again when none meets the request's needs.
constexpr duration no_endpoint_delay = milliseconds(200);

admission::request_class class_of(const completion_spec& spec) {
  return spec.interactive ? admission::request_class::interactive
                          : admission::request_class::rollout;
}

/// Returns the fingerprint under which a request can become a crash suspect; empty if it cannot.
std::string fingerprint_of(const completion_spec& spec) {
  if (spec.is_sample) {
    return {};
  }
  // The seed and the length do not decide whether a prompt crashes an engine.
  return requests::request_fingerprint(spec.workspace, spec.model, spec.prompt);
}

} // namespace

/// A completion from its submission to its end.
struct completion_task::active_completion {
  std::uint64_t number = 0;
  completion_spec spec;
  completion_callbacks callbacks;
  std::string fingerprint;
  requests::stream_relay relay;
  std::vector<routing::prefix_hash> prefix;
  std::unique_ptr<engine_attempt> attempt;
  std::optional<chosen_endpoint> endpoint;
  time_point submitted;
  time_point attempt_started;
  time_point busy_since;
  duration endpoint_time{};
  int attempts = 0;
  /// Whether bytes of any attempt may have reached an endpoint.
  bool maybe_executed = false;
  bool admitted = false;
  bool ended = false;
  std::uint64_t prompt_tokens = 0;
  /// Endpoints that failed this request.
  std::vector<std::string> failed_on;

  active_completion(completion_spec wanted, completion_callbacks handlers)
      : spec(std::move(wanted)), callbacks(std::move(handlers)), fingerprint(fingerprint_of(spec)),
        relay(requests::stream_relay::create(static_cast<std::uint64_t>(spec.max_tokens))),
        prefix(routing::prefix_hashes(spec.model, spec.prompt)) {}
};

result<std::unique_ptr<completion_task>>
completion_task::create(const daemon_context& context, endpoint_task& endpoints, peer_task& peers) {
  BOOST_OUTCOME_TRY(retries, retry::retry_policy::create({}));
  return std::unique_ptr<completion_task>(new completion_task(context, endpoints, peers, retries));
}

completion_task::completion_task(const daemon_context& context, endpoint_task& endpoints,
                                 peer_task& peers, retry::retry_policy retries)
    : context_(context), endpoints_(endpoints), peers_(peers),
      timer_(context.loop, [this] { tick(); }), retries_(retries),
      suspects_(requests::crash_suspects::create()) {
  timer_.start_periodic(tick_period);
  peers_.received().connect(
      [this](const std::string& peer, const json& message) { on_peer_message(peer, message); });
  peers_.connected().connect([this](const std::string& peer) {
    const auto records = suspects_.records();
    if (!records.empty()) {
      peers_.send(peer, {{"type", "crash_suspects"}, {"records", requests::to_json(records)}});
    }
  });
}

void completion_task::on_configuration(const configuration_ptr& configuration) {
  configuration_ = configuration;
  for (auto& [pool, it] : controllers_) {
    for (const auto& workspace : configuration_->workspaces) {
      it->set_weight(workspace.name, static_cast<double>(workspace.weight));
    }
  }
}

void completion_task::on_keys_withdrawn(const std::vector<std::string>& key_ids) {
  std::vector<active_ptr> affected;
  for (const auto& [number, it] : active_) {
    if (std::ranges::find(key_ids, it->spec.key_id) != key_ids.end()) {
      affected.push_back(it);
    }
  }
  for (const auto& it : affected) {
    fail(it, {401, "key_withdrawn", "the workspace key was withdrawn", executed_so_far(*it), {}});
  }
}

void completion_task::on_isolated() {
  std::vector<active_ptr> affected;
  for (const auto& [number, it] : active_) {
    if (!it->spec.key_id.empty()) {
      affected.push_back(it);
    }
  }
  for (const auto& it : affected) {
    fail(it, {503, "isolated",
              "this instance lost contact with the others and cannot check keys; ask another one",
              executed_so_far(*it), seconds(1)});
  }
}

admission::admission_controller& completion_task::controller(const std::string& pool) {
  auto& it = controllers_[pool];
  if (!it) {
    admission::admission_options options;
    if (configuration_ && configuration_->limits.max_queued_requests > 0) {
      options.queue.capacity = static_cast<std::size_t>(configuration_->limits.max_queued_requests);
    }
    // The defaults are valid, and a positive capacity keeps them so.
    it = std::make_unique<admission::admission_controller>(
        admission::admission_controller::create(options).value());
    if (configuration_) {
      for (const auto& workspace : configuration_->workspaces) {
        it->set_weight(workspace.name, static_cast<double>(workspace.weight));
      }
    }
  }
  return *it;
}

std::uint64_t completion_task::submit(completion_spec spec, completion_callbacks callbacks) {
  auto it = std::make_shared<active_completion>(std::move(spec), std::move(callbacks));
  it->number = ++last_number_;
  it->submitted = context_.now();
  active_[it->number] = it;
  if (suspects_.is_quarantined(context_.now(), it->fingerprint)) {
    record(events::event_number::request_quarantined, *it);
    fail(it, {422,
              "quarantined",
              "this request brought down two endpoints and is held back",
              retry::executed::no,
              {}});
    return it->number;
  }
  admission::admission_request request;
  request.id = it->number;
  request.workspace = it->spec.workspace;
  request.kind = class_of(it->spec);
  request.stated_tokens = static_cast<int>(it->spec.max_tokens);
  request.stated_priority = it->spec.priority;
  request.deadline = it->spec.deadline;
  const auto answer = controller(it->spec.pool).submit(request, context_.now());
  if (const auto* refused = std::get_if<admission::refused>(&answer)) {
    record(events::event_number::request_refused, *it, {{"reason", refused->reason}});
    fail(it, {429, "overloaded",
              "the request would not finish in time (" + std::string(refused->reason) + ")",
              retry::executed::no, refused->retry_after});
    return it->number;
  }
  it->admitted = true;
  record(events::event_number::request_accepted, *it);
  poll(it->spec.pool);
  return it->number;
}

void completion_task::cancel(std::uint64_t number) {
  const auto found = active_.find(number);
  if (found == active_.end()) {
    return;
  }
  const active_ptr it = found->second;
  record(events::event_number::request_cancelled, *it);
  remove(it, false);
}

void completion_task::tick() {
  suspects_.expire(context_.now(), wall_now());
  std::vector<std::string> pools;
  for (const auto& [pool, it] : controllers_) {
    pools.push_back(pool);
  }
  for (const auto& pool : pools) {
    poll(pool);
  }
}

void completion_task::poll(const std::string& pool) {
  auto& admission = controller(pool);
  const auto capacity = endpoints_.capacity_of(pool);
  admission.set_max_running(
      admission::max_running_of_instance(admission.running(), capacity.places, capacity.outstanding,
                                         static_cast<int>(endpoints_.instances())));
  const auto actions = admission.poll(context_.now());
  const auto find = [this](std::uint64_t number) {
    const auto it = active_.find(number);
    return it == active_.end() ? nullptr : it->second;
  };
  for (const auto number : actions.pause) {
    if (const auto it = find(number)) {
      pause(it);
    }
  }
  for (const auto number : actions.expired) {
    if (const auto it = find(number)) {
      fail(it, {503, "deadline", "the request waited until its deadline", executed_so_far(*it),
                seconds(1)});
    }
  }
  for (const auto number : actions.start) {
    if (const auto it = find(number)) {
      dispatch(it);
    }
  }
}

void completion_task::pause(const active_ptr& it) {
  it->attempt.reset();
  it->maybe_executed = true;
  end_attempt(*it, std::nullopt);
}

std::vector<std::string> completion_task::running_on(const std::string& endpoint) const {
  std::vector<std::string> list;
  for (const auto& [number, it] : active_) {
    if (it->attempt && it->endpoint && it->endpoint->id == endpoint && !it->fingerprint.empty()) {
      list.push_back(it->fingerprint);
    }
  }
  return list;
}

std::vector<std::string> completion_task::endpoints_to_avoid(const active_completion& it) const {
  std::vector<std::string> list = it.failed_on;
  if (!suspects_.is_suspect(it.fingerprint)) {
    return list;
  }
  // Where it failed before does not matter.
  list = endpoints_.ready(it.spec.pool);
  const auto place = place_of_suspect(it);
  const bool allowed = place && suspects_.separation_delay_passed(context_.now()) &&
                       requests::may_place(suspects_, it.fingerprint, running_on(*place));
  if (allowed) {
    std::erase(list, *place);
  }
  return list;
}

std::optional<std::string> completion_task::place_of_suspect(const active_completion& it) const {
  // All instances choose the same endpoint for a suspect, because they do not know each other's
  // running requests. The verdicts on endpoints' health differ between instances, so they have no
  // part in the choice.
  return requests::suspect_endpoint(suspects_, it.fingerprint, endpoints_.ready(it.spec.pool));
}

void completion_task::separate_suspects() {
  // A suspect that already ran elsewhere leaves for its own endpoint. Otherwise another suspect
  // could meet it there, and their crash would count against neither.
  std::vector<active_ptr> moving;
  for (const auto& [number, it] : active_) {
    if (it->attempt && it->endpoint && suspects_.is_suspect(it->fingerprint) &&
        place_of_suspect(*it) != it->endpoint->id) {
      moving.push_back(it);
    }
  }
  for (const active_ptr& it : moving) {
    pause(it);
    dispatch(it);
  }
}

void completion_task::dispatch(const active_ptr& it) {
  if (it->ended || it->attempt) {
    return;
  }
  if (suspects_.is_quarantined(context_.now(), it->fingerprint)) {
    record(events::event_number::request_quarantined, *it);
    fail(it, {422,
              "quarantined",
              "this request brought down two endpoints and is held back",
              executed_so_far(*it),
              {}});
    return;
  }
  const std::vector<std::string> avoid = endpoints_to_avoid(*it);
  routing::route_request request;
  request.pool = it->spec.pool;
  request.model = it->spec.model;
  request.priority =
      it->spec.interactive ? routing::route_class::interactive : routing::route_class::rollout;
  request.minimum_version = it->spec.minimum_version;
  request.cheap_allowed = it->spec.cheap_allowed;
  request.expected_tokens = static_cast<int>(it->spec.max_tokens);
  request.prompt_tokens = static_cast<int>(it->spec.prompt.size() / 4);
  request.prefix = it->prefix;
  request.excluded = avoid;
  auto endpoint = endpoints_.choose(request);
  if (!endpoint && !it->failed_on.empty()) {
    // With no other endpoint left, one that failed before may have recovered.
    it->failed_on.clear();
  }
  if (!endpoint) {
    const time_point now = context_.now();
    if (now >= it->spec.deadline) {
      fail(it, {503, "no_endpoint", endpoint.error().message, executed_so_far(*it), seconds(1)});
      return;
    }
    context_.post_after(no_endpoint_delay, [this, it] { dispatch(it); });
    return;
  }
  start_attempt(it, endpoint.value());
}

void completion_task::start_attempt(const active_ptr& it, const chosen_endpoint& endpoint) {
  ++it->attempts;
  it->endpoint = endpoint;
  it->attempt_started = context_.now();
  engine_request request;
  request.attempt = it->spec.request_id + '.' + std::to_string(it->attempts);
  request.target = endpoint.target;
  request.model = it->spec.model;
  request.prompt = it->spec.prompt;
  request.max_tokens = it->spec.max_tokens;
  request.priority = it->spec.priority;
  request.seed = it->spec.seed;
  request.first_index = it->relay.frames();
  const auto resumption = it->relay.begin_attempt(context_.now(), request.attempt);
  if (!resumption) {
    fail(it, {500, "internal", resumption.error().message, retry::executed::yes, {}});
    return;
  }
  request.resume_text = resumption.value().text;
  record(events::event_number::attempt_started, *it, {{"attempt", request.attempt}});
  // The task owns the attempt, so the attempt holds the completion weakly.
  const std::weak_ptr<active_completion> weak = it;
  engine_callbacks callbacks;
  callbacks.on_frame = [this, weak](const engine_frame& frame) {
    if (const auto open = weak.lock()) {
      on_frame(open, frame);
    }
  };
  callbacks.on_complete = [this, weak](const engine_completion& completion) {
    if (const auto open = weak.lock()) {
      on_attempt_complete(open, completion);
    }
  };
  callbacks.on_failure = [this, weak](const attempt_failure& failure) {
    if (const auto open = weak.lock()) {
      on_attempt_failure(open, failure);
    }
  };
  it->attempt = engine_attempt::start(context_, request, std::move(callbacks));
}

void completion_task::on_frame(const active_ptr& it, const engine_frame& frame) {
  requests::stream_frame part;
  part.attempt = it->spec.request_id + '.' + std::to_string(it->attempts);
  part.index = frame.index;
  part.text = frame.text;
  part.weight_version = frame.weight_version;
  const auto relayed = it->relay.add_frame(context_.now(), part);
  if (!relayed) {
    return;
  }
  it->maybe_executed = true;
  if (relayed->index == 0) {
    measure("boragedoor_first_token_seconds", "Time from a request to its first token", *it);
  }
  controller(it->spec.pool)
      .record_progress(it->number, static_cast<int>(it->relay.frames()), context_.now());
  if (it->callbacks.on_token) {
    it->callbacks.on_token(*relayed);
  }
}

void completion_task::on_attempt_complete(const active_ptr& it,
                                          const engine_completion& completion) {
  // The attempt is on the stack, so it is destroyed after this callback.
  context_.post([keep = std::shared_ptr<engine_attempt>(std::move(it->attempt))] {});
  end_attempt(*it, routing::health_signal::success);
  retries_.record_success();
  it->prompt_tokens = completion.prompt_tokens;
  completion_result whole;
  whole.text = it->relay.text();
  whole.finish_reason = completion.finish_reason;
  whole.weight_versions = it->relay.weight_versions();
  for (const auto version : completion.weight_versions) {
    if (std::ranges::find(whole.weight_versions, version) == whole.weight_versions.end()) {
      whole.weight_versions.push_back(version);
    }
  }
  std::ranges::sort(whole.weight_versions);
  whole.prompt_tokens = completion.prompt_tokens;
  whole.completion_tokens = it->relay.frames();
  record(events::event_number::request_finished, *it, {{"tokens", whole.completion_tokens}});
  measure("boragedoor_completion_seconds", "Time from a request to its whole answer", *it);
  const auto fn = std::move(it->callbacks.on_complete);
  remove(it, true);
  if (fn) {
    fn(whole);
  }
}

void completion_task::on_attempt_failure(const active_ptr& it, const attempt_failure& failure) {
  context_.post([keep = std::shared_ptr<engine_attempt>(std::move(it->attempt))] {});
  const chosen_endpoint endpoint = *it->endpoint;
  record(events::event_number::attempt_failed, *it, {{"reason", failure.message}});
  it->failed_on.push_back(endpoint.id);
  it->maybe_executed = it->maybe_executed || !failure.nothing_sent;
  auto evidence = routing::health_signal::failure;
  if (failure.fault == attempt_fault::silent) {
    evidence = routing::health_signal::progress_timeout;
  } else if (failure.fault == attempt_fault::wrong_answer) {
    evidence = routing::health_signal::invalid_response;
  }
  end_attempt(*it, evidence);
  if (failure.fault == attempt_fault::connection && !failure.nothing_sent &&
      !endpoint.incarnation.empty()) {
    check_crash(it, endpoint, failure);
  } else {
    after_failure(it, failure);
  }
}

void completion_task::check_crash(const active_ptr& it, const chosen_endpoint& endpoint,
                                  const attempt_failure& failure) {
  const std::string place = endpoint.id + '/' + endpoint.incarnation;
  auto& broken = broken_[place];
  if (!it->fingerprint.empty()) {
    broken.push_back(it->fingerprint);
  }
  endpoints_.check_incarnation(
      endpoint, [this, it, endpoint, place, failure](std::optional<bool> alive) {
        if (alive == false) {
          // All that broke together are recorded at once; later answers find the list empty.
          const auto crashed = std::exchange(broken_[place], {});
          endpoints_.process_ended(endpoint.id, endpoint.incarnation);
          if (!crashed.empty()) {
            share_suspects(suspects_.record_crash(context_.now(), wall_now(), endpoint.id,
                                                  endpoint.incarnation, crashed),
                           {});
          }
        }
        std::erase(broken_[place], it->fingerprint);
        if (broken_[place].empty()) {
          broken_.erase(place);
        }
        if (!it->ended) {
          after_failure(it, failure);
        }
      });
}

void completion_task::after_failure(const active_ptr& it, const attempt_failure& failure) {
  const time_point now = context_.now();
  retry::failed_attempt failed;
  failed.attempts = it->attempts;
  if (it->relay.frames() > 0) {
    failed.progress = retry::streaming{static_cast<int>(it->relay.frames())};
  } else if (!failure.nothing_sent) {
    failed.progress = retry::possibly_sent{};
  }
  failed.not_executed = failure.fault == attempt_fault::refused;
  failed.resume_allowed = true;
  failed.deadline = it->spec.deadline;
  const auto decision = retries_.decide(failed, now, context_.random);
  if (const auto* give_up = std::get_if<retry::give_up>(&decision)) {
    fail(it, {502, "endpoint_failed",
              failure.message + " (" + std::string(retry::to_string(give_up->reason)) + ")",
              executed_so_far(*it), seconds(1)});
    return;
  }
  record(events::event_number::request_retried, *it);
  const auto& again = std::get<retry::retry_attempt>(decision);
  context_.post_after(again.at - now, [this, it] { dispatch(it); });
}

void completion_task::end_attempt(active_completion& it,
                                  std::optional<routing::health_signal> evidence) {
  if (!it.endpoint) {
    return;
  }
  it.endpoint_time += context_.now() - it.attempt_started;
  const std::string id = it.endpoint->id;
  it.endpoint.reset();
  endpoints_.finished(id, evidence);
}

void completion_task::fail(const active_ptr& it, const api_error& reason) {
  const auto fn = std::move(it->callbacks.on_failure);
  remove(it, false);
  if (fn) {
    fn(reason);
  }
}

void completion_task::remove(const active_ptr& it, bool complete) {
  if (it->ended) {
    return;
  }
  it->ended = true;
  it->callbacks = {};
  if (it->attempt) {
    context_.post([keep = std::shared_ptr<engine_attempt>(std::move(it->attempt))] {});
  }
  end_attempt(*it, std::nullopt);
  if (it->admitted) {
    auto& admission = controller(it->spec.pool);
    const time_point now = context_.now();
    if (it->attempts > 0) {
      admission.finish(it->number, static_cast<int>(it->relay.frames()), complete, now);
    } else {
      admission.cancel(it->number, now);
    }
  }
  report_usage(*it, it->prompt_tokens);
  active_.erase(it->number);
  context_.post([this, pool = it->spec.pool] { poll(pool); });
}

void completion_task::report_usage(active_completion& it, std::uint64_t prompt_tokens) {
  if (it.attempts == 0) {
    return;
  }
  usage_fact fact;
  fact.key.workspace = it.spec.workspace;
  fact.key.request_class = it.spec.request_class;
  fact.figures.requests = 1;
  fact.figures.prompt_tokens = prompt_tokens;
  fact.figures.completion_tokens = it.relay.frames();
  fact.figures.endpoint_us = static_cast<std::uint64_t>(it.endpoint_time.count());
  used_.emit(fact);
}

void completion_task::record(events::event_number number, const active_completion& it,
                             json details) {
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

void completion_task::measure(const char* name, const char* help,
                              const active_completion& it) const {
  const std::chrono::duration<double> passed = context_.now() - it.submitted;
  context_.metrics.get_distribution(name, help, {{"class", it.spec.request_class}})
      .add(passed.count());
}

retry::executed completion_task::executed_so_far(const active_completion& it) {
  if (it.relay.frames() > 0) {
    return retry::executed::yes;
  }
  return it.maybe_executed || it.attempt ? retry::executed::unknown : retry::executed::no;
}

void completion_task::share_suspects(const std::vector<requests::crash_record>& records,
                                     const std::string& except) {
  if (!records.empty()) {
    peers_.broadcast({{"type", "crash_suspects"}, {"records", requests::to_json(records)}}, except);
    separate_suspects();
  }
}

void completion_task::on_peer_message(const std::string& peer, const json& message) {
  if (string_field(message, "type") != "crash_suspects" || !message.contains("records")) {
    return;
  }
  const auto records = requests::crash_records_from_json(message["records"]);
  if (records) {
    for (const auto& it : records.value()) {
      endpoints_.process_ended(it.endpoint, it.incarnation);
    }
    share_suspects(suspects_.merge(context_.now(), wall_now(), records.value()), peer);
  }
}

} // namespace boragedoor::daemon
