#include "instance/job_runner.h"

#include <algorithm>
#include <utility>

#include "instance/call_limits.h"
#include "jobs/job_documents.h"
#include "jobs/job_memory.h"
#include "jobs/move_choice.h"

namespace boragedoor::instance {

namespace {

using events::event_number;

/// Maximum time without data on a generation's stream. Loading weights pauses a stream for about a
/// second, and a slow engine for several event intervals; after a longer pause the connection is
/// treated as dead.
constexpr duration stream_timeout = seconds(4);
/// Maximum duration of a run; a generation takes a few seconds.
constexpr duration run_timeout = seconds(30);
/// A reward call takes about 100 ms and is repeated if it fails.
constexpr duration reward_timeout = seconds(2);
/// Bytes of partial texts in one stored value or message. The store's limit for an encoded value is
/// 1 MB.
constexpr std::size_t max_progress_bytes = 512UL * 1024;
/// Bytes of results that are listed or read at once. A reader takes up to 1 MB and pauses before it
/// comes back, so the results that complete a step should be in one answer.
constexpr std::size_t max_chunk_bytes = 900UL * 1024;
/// Bytes of stored results that are cached, so that readers need no call to the store. A step of
/// 128 texts has about 1 MB.
constexpr std::size_t max_cached_bytes = 2UL * 1024 * 1024;
/// How long after its `give_up` time a job that was not ended keeps its runner, from which its
/// results are read.
constexpr duration result_retention = seconds(20);
constexpr duration listing_retry_delay = milliseconds(250);
/// Interval at which partial texts are saved. If the instance is lost, the events since the last
/// save are generated again; each save is a call of up to 512 KB.
constexpr duration save_interval = milliseconds(1200);
/// Maximum number of slow runs moved at a time, so that a false detection cannot move all runs.
constexpr std::size_t max_moves = 8;

/// Items and reward calls that one iteration of the event loop starts. A step of a thousand items
/// takes seconds of an eighth of a core to start; changes of the registry and callers must not wait
/// for it.
constexpr int max_starts_at_once = 16;

/// Events that a run needs before it may move to a faster engine, and the maximum ratio of that
/// engine's event interval to the current one. A move costs about as much as one event.
constexpr int min_events_before_move = 8;
constexpr double max_interval_ratio = 0.87;

/// Longest time that the verification of a text takes: two calls to the store on different paths.
constexpr duration verification_limit = seconds(2);

constexpr int unprocessable = 422;

} // namespace

job_runner::job_runner(instance_context& context, job_store& store, endpoint_verifier& verifier,
                       loaded_job loaded)
    : context_(context), store_(store), verifier_(verifier),
      run_(std::move(loaded.contents), loaded.listed, context.loop.now(), loaded.progress, {},
           loaded.carried),
      memory_(context.budget, http1::byte_use::job, run_.contents().id, nullptr),
      texts_(context.loop, verifier,
             [this](const routing::endpoint_process& source, std::span<const std::size_t> items,
                    process_verdict verdict) { on_text_verified(source, items, verdict); }),
      listed_(loaded.listed.size(), max_cached_bytes),
      next_save_(context.loop.now() + save_interval) {
  memory_.set(jobs::contents_bytes(run_.contents()));
}

job_runner::~job_runner() {
  *alive_ = false;
  stop();
}

void job_runner::stop() {
  stopped_ = true;
  const time_point now = context_.loop.now();
  for (const auto& [n, it] : std::exchange(runs_, {})) {
    it->call->cancel();
    context_.endpoints.note_finished(it->endpoint, std::nullopt, now);
  }
  for (const auto& [n, it] : std::exchange(rewards_, {})) {
    it->call->cancel();
    context_.endpoints.note_finished(it->endpoint, std::nullopt, now);
  }
}

bool job_runner::is_complete() const {
  return run_.all_finished() && !chunk_ &&
         context_.stable_wall_now() >= run_.contents().give_up + result_retention;
}

std::optional<std::vector<jobs::item_result>> job_runner::results(std::size_t after) const {
  return listed_.read(after, max_chunk_bytes);
}

std::vector<jobs::item_progress> job_runner::progress() const {
  return run_.progress(max_progress_bytes);
}

std::vector<jobs::item_progress> job_runner::texts_for_next_step() const {
  return run_.texts_for_next_step(max_progress_bytes,
                                  [this](std::string_view item) { return listed_.find(item); });
}

void job_runner::advance(time_point now) {
  if (stopped_) {
    return;
  }
  if (const wall_time wall = context_.stable_wall_now(); wall >= run_.contents().give_up) {
    while (!runs_.empty()) {
      cancel_run(runs_.begin()->first, jobs::run_outcome::broken, "given_up");
    }
    run_.terminate_expired(wall, now);
  }
  move_slow_runs(now);
  start_ready(now);
  list_results(now);
  save_progress(now);
}

void job_runner::start_ready(time_point now) {
  int left = max_starts_at_once;
  while (const auto n = left > 0 ? run_.next_item(now) : std::nullopt) {
    const start_result outcome = start_item(*n, now);
    if (outcome == start_result::no_endpoint) {
      break;
    }
    left -= outcome == start_result::started ? 1 : 0;
  }
  while (const auto n = left > 0 ? run_.next_reward(now) : std::nullopt) {
    if (!start_reward(*n, now)) {
      break;
    }
    --left;
  }
  if (left == 0 && !std::exchange(start_scheduled_, true)) {
    context_.loop.post([this, alive = alive_] {
      if (*alive) {
        start_scheduled_ = false;
        if (!stopped_) {
          start_ready(context_.loop.now());
        }
      }
    });
  }
}

void job_runner::save_progress(time_point now) {
  const stored_record* owner = store_.find(run_.contents().id);
  if (stopped_ || saving_ || now < next_save_ || owner == nullptr) {
    return;
  }
  next_save_ = now + save_interval;
  const auto texts = run_.take_new_progress(max_progress_bytes);
  if (texts.empty()) {
    return;
  }
  saving_ = true;
  store_.save_progress(*owner, texts, [this, alive = alive_] {
    if (*alive) {
      saving_ = false;
    }
  });
}

int job_runner::waiting_requests(std::size_t (jobs::job_run::*count)() const) const {
  // Counting walks all items.
  return context_.endpoints.has_limits()
             ? static_cast<int>(std::min<std::size_t>((run_.*count)(), max_starts_at_once))
             : 1;
}

std::string job_runner::service_for(const dispatch::route& route, std::size_t n) {
  for (const dispatch::service_share& it : route.services) {
    if (!run_.software(n).empty() && context_.endpoints.has_ready(it.service, run_.software(n))) {
      return it.service;
    }
  }
  return dispatch::choose_service(route, context_.random);
}

job_runner::start_result job_runner::start_item(std::size_t n, time_point now) {
  const jobs::job& job = run_.contents();
  const jobs::job_item& item = run_.item(n);
  const dispatch::route* route = context_.routes.find(job.host, item.path);
  if (route == nullptr) {
    return start_result::no_endpoint;
  }
  if (const auto& source = run_.unverified_source(n)) {
    run_.hold(n, now + verification_limit);
    texts_.add(n, *source, run_.software(n));
    return start_result::postponed;
  }
  const std::string service = service_for(*route, n);
  dispatch::endpoint_requirements requirements{.service = service,
                                               .model = item.model,
                                               .minimum_version = job.minimum_version,
                                               .software = run_.software(n),
                                               .excluded = run_.avoided_endpoints(n),
                                               .requires_free_slot = true,
                                               .preferred_endpoint = run_.group_endpoint(n),
                                               .long_running = true,
                                               .waiting_requests =
                                                   waiting_requests(&jobs::job_run::waiting)};
  auto chosen = context_.endpoints.choose(requirements, context_.loop.now(), context_.random);
  if (!chosen && !requirements.excluded.empty()) {
    requirements.excluded = {};
    chosen = context_.endpoints.choose(requirements, context_.loop.now(), context_.random);
  }
  if (!chosen && !requirements.software.empty()) {
    if (!run_.postpone(n, context_.endpoints.has_ready(service, requirements.software), now)) {
      return start_result::postponed;
    }
    discard_text(n, "no_endpoint");
    requirements.software = {};
    chosen = context_.endpoints.choose(requirements, context_.loop.now(), context_.random);
  }
  if (!chosen) {
    return start_result::no_endpoint;
  }
  const auto it = std::make_shared<active_call>(active_call{.item = n,
                                                            .endpoint = chosen->id,
                                                            .process = chosen->process(),
                                                            .software = chosen->software,
                                                            .call = {},
                                                            .reader = {},
                                                            .sent_at = now});
  endpoint_request request{
      .endpoint = chosen->id,
      .address = chosen->address,
      .attempt = item.id,
      .message =
          [this, n, id = chosen->id] {
            const auto left = std::chrono::duration_cast<duration>(run_.contents().give_up -
                                                                   context_.stable_wall_now());
            return context_.protocol.generate(
                run_.contents(), run_.item(n), run_.last_event(n),
                {.endpoint = id,
                 .workspace = run_.contents().workspace,
                 .time_left = std::clamp<duration>(left, milliseconds(1), run_timeout)});
          },
      .repeatable = true,
      .progress_timeout = stream_timeout,
      .max_body_bytes = max_item_stream_bytes};
  context_.note_sent(chosen->id, "item");
  run_.started(n, {chosen->id, chosen->software, chosen->process_start_ms}, now);
  runs_[n] = it;
  context_.record(
      event_number::item_started, item.id, chosen->id,
      {{"job", job.id}, {"after", run_.last_event(n).value_or(0)}, {"software", chosen->software}});
  http1::call_callbacks callbacks;
  callbacks.on_head = [this, it](const http1::response& head) { return on_head(it, head); };
  callbacks.on_data = [this, it](std::string_view data) { on_data(*it, data); };
  callbacks.on_end = [this, it](http1::call_outcome outcome, const http1::response& response) {
    on_end(it, outcome, response);
  };
  it->call = context_.outgoing.send(std::move(request), std::move(callbacks));
  return start_result::started;
}

bool job_runner::on_head(const std::shared_ptr<active_call>& it, const http1::response& head) {
  const endpoint_reply reply = context_.protocol.read(head);
  context_.note_reply(it->process, reply, it->sent_at);
  constexpr int ok = 200;
  if (head.status != ok || reply.not_run || reply.signature.empty()) {
    return true;
  }
  it->accepted = true;
  if (reply.weight_version) {
    context_.endpoints.note_version(it->endpoint, run_.item(it->item).model, *reply.weight_version);
    if (!run_.accept_version(it->item, *reply.weight_version)) {
      reject(*it, jobs::run_outcome::stale_weights);
      return true;
    }
  }
  if (run_.last_event(it->item)) {
    it->unverified.emplace();
    verify_process(it, [this, it](process_verdict verdict) { on_run_verified(it, verdict); });
  }
  return true;
}

void job_runner::on_text_verified(const routing::endpoint_process& source,
                                  std::span<const std::size_t> items, process_verdict verdict) {
  if (stopped_) {
    return;
  }
  const time_point now = context_.loop.now();
  for (const std::size_t n : items) {
    if (run_.unverified_source(n) != source) {
      continue;
    }
    switch (verdict) {
    case process_verdict::confirmed:
    case process_verdict::gone:
      run_.confirm_text(n);
      run_.hold(n, now);
      break;
    case process_verdict::refuted:
      run_.refute_text(n, now);
      discard_text(n, "other_software");
      break;
    case process_verdict::unknown:
      if (run_.postpone(n, true, now)) {
        run_.hold(n, now);
        discard_text(n, "not_verified");
      }
      break;
    }
  }
  start_ready(now);
}

void job_runner::discard_text(std::size_t n, std::string_view reason) {
  context_.record(event_number::text_discarded, run_.item(n).id, {},
                  {{"job", run_.contents().id}, {"reason", reason}});
}

void job_runner::verify_process(const std::shared_ptr<active_call>& it,
                                std::function<void(process_verdict)> done) {
  verifier_.verify({it->process, it->software},
                   [this, alive = alive_, it, done = std::move(done)](process_verdict verdict) {
                     const auto found = *alive ? runs_.find(it->item) : runs_.end();
                     if (*alive && found != runs_.end() && found->second == it) {
                       done(verdict);
                     }
                   });
}

void job_runner::on_run_verified(const std::shared_ptr<active_call>& it, process_verdict verdict) {
  const unverified_run run = *std::exchange(it->unverified, std::nullopt);
  if (verdict == process_verdict::confirmed) {
    run_.confirm_run(it->item);
    on_data(*it, run.data);
    if (run.end) {
      on_end(it, run.end->first, run.end->second);
    }
    return;
  }
  if (verdict == process_verdict::refuted) {
    context_.endpoints.note_misdirected(it->endpoint);
  }
  cancel_run(it->item, jobs::run_outcome::broken, "process_not_verified");
}

void job_runner::reject(active_call& it, jobs::run_outcome outcome) {
  if (!std::exchange(it.rejected, true)) {
    it.rejection = outcome;
    // The call cannot be cancelled within its own callback, so the event loop cancels it later.
    context_.loop.post([this, alive = alive_, n = it.item, call = it.call, outcome] {
      const auto found = *alive ? runs_.find(n) : runs_.end();
      if (*alive && found != runs_.end() && found->second->call == call) {
        cancel_run(n, outcome, "rejected");
      }
    });
  }
}

void job_runner::on_data(active_call& it, std::string_view data) {
  if (!it.accepted || it.rejected) {
    return;
  }
  if (it.unverified) {
    if (it.unverified->data.size() + data.size() > max_unverified_bytes) {
      reject(it, jobs::run_outcome::broken);
    } else {
      it.unverified->data += data;
    }
    return;
  }
  const bool readable = it.reader.feed(data, [this, &it](const jobs::stream_event& event) {
    if (it.rejected) {
      return;
    }
    if (const auto version = context_.protocol.version_change(event)) {
      context_.endpoints.note_version(it.endpoint, run_.item(it.item).model, *version);
      if (!run_.accept_version(it.item, *version)) {
        reject(it, jobs::run_outcome::stale_weights);
        return;
      }
    }
    if (!run_.append_event(it.item, event, context_.loop.now())) {
      reject(it, jobs::run_outcome::broken);
      return;
    }
    report_interval(it);
  });
  if (!readable) {
    reject(it, jobs::run_outcome::broken);
  }
}

void job_runner::report_interval(const active_call& it) {
  if (const auto interval = run_.event_interval(it.item)) {
    context_.endpoints.note_event_interval(it.endpoint, *interval);
  }
}

void job_runner::on_end(const std::shared_ptr<active_call>& it, http1::call_outcome outcome,
                        const http1::response& response) {
  if (it->unverified) {
    it->unverified->end.emplace(outcome, response);
    return;
  }
  runs_.erase(it->item);
  const endpoint_reply reply = context_.protocol.read(response);
  if (it->rejected) {
    finish_run(*it, it->rejection, std::nullopt, "rejected");
    return;
  }
  if (outcome == http1::call_outcome::invalid_request) {
    // An earlier release accepted the item.
    finish_run(*it, jobs::run_outcome::impossible, std::nullopt, to_string(outcome));
    return;
  }
  if (outcome != http1::call_outcome::complete) {
    const auto signal = outcome == http1::call_outcome::timed_out
                            ? routing::health_signal::progress_timeout
                            : routing::health_signal::failure;
    finish_run(*it,
               outcome == http1::call_outcome::not_connected ? jobs::run_outcome::not_run
                                                             : jobs::run_outcome::broken,
               signal, to_string(outcome));
    return;
  }
  if (reply.misdirected) {
    context_.endpoints.note_misdirected(it->endpoint);
    finish_run(*it, jobs::run_outcome::not_run, std::nullopt, "misdirected");
    return;
  }
  if (reply.not_run) {
    context_.endpoints.note_refused(it->endpoint, context_.loop.now());
    finish_run(*it, jobs::run_outcome::not_run, std::nullopt, "not_run");
    return;
  }
  if (response.status == unprocessable) {
    finish_run(*it, jobs::run_outcome::impossible, routing::health_signal::success, "impossible");
    return;
  }
  if (response.status >= 500) {
    finish_run(*it, jobs::run_outcome::failed, std::nullopt, "endpoint_error");
    return;
  }
  if (!it->accepted || it->reader.has_incomplete_event()) {
    finish_run(*it, jobs::run_outcome::broken, routing::health_signal::invalid_response,
               "incomplete");
    return;
  }
  finish_run(*it, jobs::run_outcome::complete, routing::health_signal::success, "complete");
}

void job_runner::finish_run(active_call& it, jobs::run_outcome outcome,
                            std::optional<routing::health_signal> signal, std::string_view reason) {
  const time_point now = context_.loop.now();
  context_.endpoints.note_finished(it.endpoint, signal, now);
  run_.ended(it.item, outcome, now);
  context_.count("boragedoor_item_runs_total", "runs of items at engines by outcome", reason);
  context_.measure("boragedoor_item_run_seconds", "time of a run at an engine, seconds",
                   now - it.sent_at);
  context_.record(event_number::item_ended, run_.item(it.item).id, it.endpoint,
                  {{"job", run_.contents().id},
                   {"reason", reason},
                   {"last_event", run_.last_event(it.item).value_or(0)}});
  if (!stopped_) {
    start_ready(now);
  }
}

void job_runner::cancel_run(std::size_t n, jobs::run_outcome outcome, std::string_view reason) {
  const auto found = runs_.find(n);
  if (found == runs_.end()) {
    return;
  }
  const auto it = found->second;
  runs_.erase(found);
  it->call->cancel();
  const time_point now = context_.loop.now();
  context_.endpoints.note_finished(it->endpoint, std::nullopt, now);
  run_.ended(n, outcome, now);
  context_.record(event_number::item_ended, run_.item(n).id, it->endpoint,
                  {{"job", run_.contents().id}, {"reason", reason}});
}

std::optional<dispatch::chosen_endpoint>
job_runner::alternative_endpoint(std::size_t n, const std::string& current, time_point now) {
  const jobs::job& job = run_.contents();
  const dispatch::route* route = context_.routes.find(job.host, run_.item(n).path);
  if (route == nullptr || route->services.empty()) {
    return std::nullopt;
  }
  const std::vector<std::string> excluded = {current};
  const std::string service = service_for(*route, n);
  return context_.endpoints.choose({.service = service,
                                    .model = run_.item(n).model,
                                    .minimum_version = job.minimum_version,
                                    .software = run_.software(n),
                                    .excluded = excluded,
                                    .requires_free_slot = true,
                                    .long_running = true,
                                    .is_estimate = true},
                                   now, context_.random);
}

void job_runner::move_slow_runs(time_point now) {
  std::size_t moved = 0;
  for (const std::size_t n : run_.slow_runs(now)) {
    const auto found = runs_.find(n);
    if (found == runs_.end() || moved == max_moves) {
      continue;
    }
    if (alternative_endpoint(n, found->second->endpoint, now)) {
      cancel_run(n, jobs::run_outcome::moved, "slow");
      ++moved;
    }
  }
  move_to_faster_engines(now);
}

void job_runner::move_to_faster_engines(time_point now) {
  if (run_.waiting() > 0) {
    // Free slots go to waiting items first.
    return;
  }
  const auto verification = [this](std::size_t n) {
    if (!run_.unverified_source(n)) {
      return jobs::run_verification::verified;
    }
    return runs_.at(n)->move_prepared ? jobs::run_verification::asked
                                      : jobs::run_verification::not_asked;
  };
  const auto has_faster_endpoint = [this, now](std::size_t n) {
    const std::string& current = runs_.at(n)->endpoint;
    const auto own = context_.endpoints.event_interval(current);
    const auto other = own ? alternative_endpoint(n, current, now) : std::nullopt;
    const auto faster = other ? context_.endpoints.event_interval(other->id) : std::nullopt;
    return faster && *faster < *own * max_interval_ratio;
  };
  std::vector<std::size_t> runs = run_.runs_with_events(min_events_before_move);
  std::erase_if(runs, [this](std::size_t n) { return !runs_.contains(n); });
  const jobs::move_choice choice = jobs::choose_move(runs, verification, has_faster_endpoint);
  if (choice.verify) {
    prepare_move(runs_.at(*choice.verify));
  }
  if (choice.move) {
    // The slot is taken only when the item is restarted, right after this function.
    cancel_run(*choice.move, jobs::run_outcome::moved, "faster_engine");
  }
}

void job_runner::prepare_move(const std::shared_ptr<active_call>& it) {
  it->move_prepared = true;
  verify_process(it, [this, it](process_verdict verdict) {
    if (verdict != process_verdict::confirmed) {
      return;
    }
    // The process has run since before these runs were sent to it.
    for (const auto& [n, run] : runs_) {
      const auto source = run_.unverified_source(n);
      if (run->process == it->process && run->software == it->software &&
          source.value_or(it->process) == it->process) {
        run_.confirm_run(n);
      }
    }
    move_to_faster_engines(context_.loop.now());
    start_ready(context_.loop.now());
  });
}

bool job_runner::start_reward(std::size_t n, time_point now) {
  const jobs::reward_call& call = *run_.item(n).reward;
  const dispatch::route* route = context_.routes.find(call.host, call.path);
  if (route == nullptr) {
    return false;
  }
  const std::string service = dispatch::choose_service(*route, context_.random);
  const auto chosen = context_.endpoints.choose(
      {.service = service,
       .requires_free_slot = true,
       .waiting_requests = waiting_requests(&jobs::job_run::waiting_rewards)},
      context_.loop.now(), context_.random);
  if (!chosen) {
    return false;
  }
  const auto it = std::make_shared<active_call>(active_call{.item = n,
                                                            .endpoint = chosen->id,
                                                            .process = chosen->process(),
                                                            .call = {},
                                                            .reader = {},
                                                            .sent_at = now});
  endpoint_request request{.endpoint = chosen->id,
                           .address = chosen->address,
                           .attempt = call.id,
                           .message =
                               [this, n, id = chosen->id] {
                                 return context_.protocol.score(*run_.item(n).reward,
                                                                {.endpoint = id,
                                                                 .workspace = {},
                                                                 .time_left = reward_timeout});
                               },
                           .repeatable = true,
                           .progress_timeout = reward_timeout,
                           // The score is a header field.
                           .collect_body = false};
  context_.note_sent(chosen->id, "reward");
  run_.reward_started(n);
  rewards_[n] = it;
  http1::call_callbacks callbacks;
  callbacks.on_head = [this, it](const http1::response& head) {
    context_.note_reply(it->process, context_.protocol.read(head), it->sent_at);
    return true;
  };
  callbacks.on_end = [this, it](http1::call_outcome outcome, const http1::response& response) {
    on_reward_end(it, outcome, response);
  };
  it->call = context_.outgoing.send(std::move(request), std::move(callbacks));
  return true;
}

void job_runner::on_reward_end(const std::shared_ptr<active_call>& it, http1::call_outcome outcome,
                               const http1::response& response) {
  rewards_.erase(it->item);
  const time_point now = context_.loop.now();
  const endpoint_reply reply = context_.protocol.read(response);
  jobs::reward_outcome how = jobs::reward_outcome::broken;
  std::optional<routing::health_signal> signal = routing::health_signal::failure;
  if (outcome == http1::call_outcome::complete) {
    signal.reset();
    if (reply.misdirected) {
      how = jobs::reward_outcome::not_run;
      context_.endpoints.note_misdirected(it->endpoint);
    } else if (!reply.not_run && response.status >= 200 && response.status < 300) {
      how = reply.signature.empty() ? jobs::reward_outcome::broken : jobs::reward_outcome::scored;
      signal = reply.signature.empty() ? routing::health_signal::invalid_response
                                       : routing::health_signal::success;
    } else if (!reply.not_run && response.status >= 500) {
      how = jobs::reward_outcome::failed;
    } else if (reply.not_run) {
      how = jobs::reward_outcome::not_run;
      context_.endpoints.note_refused(it->endpoint, now);
    }
  } else if (outcome == http1::call_outcome::not_connected) {
    how = jobs::reward_outcome::not_run;
  } else if (outcome == http1::call_outcome::timed_out) {
    signal = routing::health_signal::progress_timeout;
  } else if (outcome == http1::call_outcome::invalid_request) {
    // An earlier release accepted the item.
    how = jobs::reward_outcome::impossible;
    signal.reset();
  }
  context_.endpoints.note_finished(it->endpoint, signal, now);
  const jobs::reward_call& call = *run_.item(it->item).reward;
  const dispatch::route* route = context_.routes.find(call.host, call.path);
  const int attempts =
      std::max(run_.contents().max_attempts, route == nullptr ? 1 : route->max_attempts);
  run_.reward_ended(it->item, how, reply.signature, attempts, now);
  context_.record(
      event_number::item_scored, run_.item(it->item).id, it->endpoint,
      {{"job", run_.contents().id}, {"outcome", to_string(outcome)}, {"status", response.status}});
  if (!stopped_) {
    start_ready(now);
  }
}

duration job_runner::time_to_due() const {
  return std::chrono::duration_cast<duration>(run_.contents().due - context_.stable_wall_now());
}

bool job_runner::listing_expected(duration limit) const {
  return !stopped_ && run_.listing_expected(limit, time_to_due());
}

void job_runner::list_results(time_point now) {
  if (!chunk_) {
    if (!run_.results_due(now, time_to_due())) {
      return;
    }
    chunk_ = std::make_unique<chunk>(chunk{listed_.end(), run_.take_results(max_chunk_bytes, now)});
  }
  if (chunk_->in_flight || now < chunk_->not_before) {
    return;
  }
  const stored_record* owner = store_.find(run_.contents().id);
  if (owner == nullptr || owner->record.ended ||
      owner->record.runner != context_.identity.member_id()) {
    stop();
    return;
  }
  chunk_->in_flight = true;
  store_.append_results(*owner, chunk_->first, chunk_->results,
                        [this, alive = alive_](const commit_answer& out) {
                          if (*alive) {
                            on_listed(out);
                          }
                        });
}

bool job_runner::ends_with_chunk(std::string_view stored) const {
  const auto part = jobs::results_from_document(stored);
  if (!part || part.value().empty() || part.value().size() > chunk_->results.size()) {
    return false;
  }
  return stored == jobs::to_document(std::span(chunk_->results).last(part.value().size()));
}

void job_runner::on_listed(const commit_answer& out) {
  const time_point now = context_.loop.now();
  if (!chunk_) {
    return;
  }
  chunk_->in_flight = false;
  const std::string& job = run_.contents().id;
  bool stored = out.status == store_status::ok;
  if (out.status == store_status::conflict) {
    const std::string key = jobs::results_key(job, chunk_->first + chunk_->results.size());
    const auto present =
        std::find_if(out.found.begin(), out.found.end(),
                     [&](const stored_item& it) { return it.key == key && it.revision != 0; });
    if (present != out.found.end() && !ends_with_chunk(present->value)) {
      // Another member has written different results at this position, so it runs the job now.
      stop();
      store_.read_record(job, [](const result<stored_record>&) {});
      return;
    }
    // The same chunk is already stored: the response to an earlier write was lost.
    stored = present != out.found.end();
    if (!stored) {
      store_.read_record(job, [](const result<stored_record>&) {});
    }
  }
  if (!stored) {
    chunk_->not_before = now + listing_retry_delay;
    return;
  }
  const std::size_t added = chunk_->results.size();
  listed_.append(std::move(chunk_->results));
  context_.measure(
      "boragedoor_job_listing_seconds",
      "time from a job's submission to each write of results, seconds",
      std::chrono::duration_cast<duration>(context_.stable_wall_now() - run_.contents().submitted));
  context_.record(event_number::results_listed, job, {},
                  {{"results", added}, {"listed", listed_.end()}});
  chunk_.reset();
  if (!stopped_) {
    advance(now);
  }
}

} // namespace boragedoor::instance
