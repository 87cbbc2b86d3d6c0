#include "daemon/trainer_task.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(50);
constexpr duration recovery_retry = seconds(1);
constexpr std::string_view shard_prefix = "trainer/";

// A sample that takes longer than this is run again elsewhere; a step has 24 minutes.
constexpr duration sample_deadline = std::chrono::minutes(10);

std::optional<std::string> trainer_of(const std::string& shard) {
  if (!shard.starts_with(shard_prefix)) {
    return std::nullopt;
  }
  return shard.substr(shard_prefix.size());
}

std::optional<std::uint64_t> step_number_of(std::string_view key, std::string_view prefix) {
  key.remove_prefix(prefix.size());
  std::uint64_t n = 0;
  const auto [end, ec] = std::from_chars(key.data(), key.data() + key.size(), n);
  if (ec != std::errc() || end != key.data() + key.size()) {
    return std::nullopt;
  }
  return n;
}

} // namespace

trainer_task::trainer_task(const daemon_context& context, store::store_client& store,
                           shard_task& shards, announcement_task& announcements,
                           completion_task& completions)
    : context_(context), client_(store), store_(store), shards_(shards),
      announcements_(announcements), completions_(completions),
      timer_(context.loop, [this] { tick(); }) {
  shards_.acquired().connect([this](const held_shard& it) {
    if (const auto trainer = trainer_of(it.name)) {
      drop(*trainer);
      held_[*trainer] = {it.token, false, false, {}};
      recover(*trainer, it.token);
    }
  });
  shards_.stopping().connect([this](const held_shard& it) {
    if (const auto trainer = trainer_of(it.name)) {
      // Every write of a ledger is fenced by compare-and-swap, so nothing has to be settled.
      drop(*trainer);
      shards_.settled(it.name);
    }
  });
  shards_.lost().connect([this](const held_shard& it) {
    if (const auto trainer = trainer_of(it.name)) {
      drop(*trainer);
    }
  });
  announcements_.learned().connect([this](const announcement& it) {
    constexpr std::string_view prefix = "weights/";
    if (!it.name.starts_with(prefix)) {
      return;
    }
    const std::string model = it.name.substr(prefix.size());
    versions_[model] = it.number;
    std::vector<step_id> steps;
    for (const auto& [step, ledger] : ledgers_) {
      steps.push_back(step);
    }
    for (const auto& step : steps) {
      auto* ledger = find(step);
      if (ledger != nullptr && version_of(step.first) == it.number) {
        run(step, ledger->announce_version(context_.now(), it.number));
      }
    }
  });
}

void trainer_task::start() {
  timer_.start_periodic(tick_period);
}

void trainer_task::on_configuration(const configuration_ptr& configuration) {
  configuration_ = configuration;
}

std::uint64_t trainer_task::version_of(const std::string& trainer) const {
  const auto* it = configuration_ ? config::find_trainer(*configuration_, trainer) : nullptr;
  if (it == nullptr) {
    return 0;
  }
  const auto version = versions_.find(it->model);
  return version == versions_.end() ? 0 : version->second;
}

void trainer_task::recover(const std::string& trainer, std::uint64_t token) {
  const std::string prefix = "step/" + trainer + "/";
  client_.list(prefix, [this, trainer, token, prefix](const result<store::listing>& answer) {
    const auto held = held_.find(trainer);
    if (held == held_.end() || held->second.token != token) {
      return;
    }
    if (!answer) {
      context_.post_after(recovery_retry, [this, trainer, token] {
        const auto it = held_.find(trainer);
        if (it != held_.end() && it->second.token == token) {
          recover(trainer, token);
        }
      });
      return;
    }
    for (const auto& entry : answer.value().entries) {
      const auto record = ledger::step_record_from_text(entry.value);
      const auto step = step_number_of(entry.key, prefix);
      // A finished step is only looked at again when its trainer asks.
      if (step && (!record || !record.value().complete)) {
        const step_id id{trainer, *step};
        run(id, find_or_create(id).recover(context_.now()));
      }
    }
    held->second.recovered = true;
    const auto waiting = std::exchange(held->second.waiting, {});
    for (const auto& fn : waiting) {
      fn();
    }
  });
}

void trainer_task::after_recovery(const std::string& trainer, std::function<void()> fn) {
  const auto held = held_.find(trainer);
  if (held != held_.end() && !held->second.recovered) {
    held->second.waiting.push_back(std::move(fn));
  } else {
    fn();
  }
}

void trainer_task::drop(const std::string& trainer) {
  const auto held = held_.find(trainer);
  std::vector<std::function<void()>> waiting;
  if (held != held_.end()) {
    waiting = std::move(held->second.waiting);
    held_.erase(held);
  }
  std::vector<step_id> steps;
  for (const auto& [step, ledger] : ledgers_) {
    if (step.first == trainer) {
      steps.push_back(step);
    }
  }
  for (const auto& step : steps) {
    ledgers_.erase(step);
    for (const auto number : std::exchange(running_[step], {})) {
      completions_.cancel(number);
    }
    running_.erase(step);
    std::vector<std::uint64_t> open;
    for (const auto& [number, it] : requests_) {
      if (it.step == step) {
        open.push_back(number);
      }
    }
    for (const auto number : open) {
      reply(number, error{error_code::unavailable, "the trainer's shard has moved; ask again"});
    }
  }
  for (const auto& fn : waiting) {
    fn();
  }
}

void trainer_task::reply(std::uint64_t request, const result<void>& outcome) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  const open_request it = std::move(found->second);
  requests_.erase(found);
  if (it.done) {
    it.done(outcome);
  } else if (!outcome) {
    it.on_batch({ledger::batch_reply_kind::refused, 0, "", outcome.error()});
  }
}

ledger::step_ledger* trainer_task::find(const step_id& step) {
  const auto it = ledgers_.find(step);
  return it == ledgers_.end() ? nullptr : it->second.get();
}

ledger::step_ledger& trainer_task::find_or_create(const step_id& step) {
  auto& it = ledgers_[step];
  if (!it) {
    it = std::make_unique<ledger::step_ledger>(ledger::step_ledger::create(
        step.first, step.second, held_[step.first].token, version_of(step.first)));
  }
  return *it;
}

void trainer_task::open_step(const std::string& trainer, std::uint64_t step, ledger::step_spec spec,
                             std::function<void(result<void>)> done) {
  const std::uint64_t request = ++last_request_;
  const step_id id{trainer, step};
  requests_[request] = {id, std::move(done), {}};
  after_recovery(trainer, [this, id, request, spec = std::move(spec)] {
    if (!holds(id.first)) {
      reply(request, error{error_code::unavailable, "the trainer's shard has moved; ask again"});
      return;
    }
    run(id, find_or_create(id).open(context_.now(), request, spec));
  });
}

std::uint64_t trainer_task::poll_batch(const std::string& trainer, std::uint64_t step,
                                       std::uint64_t after, duration wait,
                                       std::function<void(const batch_answer&)> done) {
  const std::uint64_t request = ++last_request_;
  const step_id id{trainer, step};
  requests_[request] = {id, {}, std::move(done)};
  after_recovery(trainer, [this, id, request, after, wait] {
    if (!requests_.contains(request)) {
      return;
    }
    if (!holds(id.first)) {
      reply(request, error{error_code::unavailable, "the trainer's shard has moved; ask again"});
      return;
    }
    const bool known = find(id) != nullptr;
    auto& ledger = find_or_create(id);
    if (!known) {
      run(id, ledger.recover(context_.now()));
    }
    if (auto* open = find(id)) {
      run(id, open->poll(context_.now(), request, after, context_.now() + wait));
    }
  });
  return request;
}

void trainer_task::cancel_poll(std::uint64_t request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  if (auto* ledger = find(found->second.step)) {
    ledger->cancel_poll(request);
  }
  requests_.erase(found);
}

void trainer_task::acknowledge(const std::string& trainer, std::uint64_t step, std::uint64_t n,
                               std::function<void(result<void>)> done) {
  const std::uint64_t request = ++last_request_;
  const step_id id{trainer, step};
  requests_[request] = {id, std::move(done), {}};
  after_recovery(trainer, [this, id, request, n] {
    if (!holds(id.first)) {
      reply(request, error{error_code::unavailable, "the trainer's shard has moved; ask again"});
      return;
    }
    const bool known = find(id) != nullptr;
    auto& ledger = find_or_create(id);
    if (!known) {
      run(id, ledger.recover(context_.now()));
    }
    if (auto* open = find(id)) {
      run(id, open->acknowledge(context_.now(), request, n));
    }
  });
}

void trainer_task::announce_version(const std::string& trainer, const std::string& model,
                                    std::uint64_t version) {
  events::event it;
  it.number = events::event_number::weights_announced;
  it.shard = std::string(shard_prefix) + trainer;
  it.details = {{"model", model}, {"version", version}};
  context_.record(std::move(it));
  announcements_.announce({"weights/" + model, version, json::object()});
}

void trainer_task::tick() {
  std::vector<step_id> steps;
  for (const auto& [step, ledger] : ledgers_) {
    steps.push_back(step);
  }
  for (const auto& step : steps) {
    if (auto* ledger = find(step)) {
      run(step, ledger->tick(context_.now()));
    }
  }
}

void trainer_task::run(const step_id& step, const ledger::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this, &step](const auto& it) { carry_out(step, it); }, action);
  }
}

void trainer_task::feed(const step_id& step, std::uint64_t token, const feed_function& fn) {
  // An answer that belongs to an earlier hold of the shard must not reach a later ledger.
  const auto held = held_.find(step.first);
  auto* ledger = find(step);
  if (ledger != nullptr && held != held_.end() && held->second.token == token) {
    run(step, fn(*ledger));
  }
}

void trainer_task::carry_out(const step_id& step, const store_put& it) {
  store_.run(it, [this, step, token = held_[step.first].token](const store_write_result& done) {
    feed(step, token, [&](auto& ledger) { return ledger.finish_write(context_.now(), done); });
  });
}

void trainer_task::carry_out(const step_id& step, const store_delete& it) {
  store_.run(it, [this, step, token = held_[step.first].token](const store_write_result& done) {
    feed(step, token, [&](auto& ledger) { return ledger.finish_write(context_.now(), done); });
  });
}

void trainer_task::carry_out(const step_id& step, const store_get& it) {
  store_.run(it, [this, step, token = held_[step.first].token](const store_read_result& done) {
    feed(step, token, [&](auto& ledger) { return ledger.finish_read(context_.now(), done); });
  });
}

void trainer_task::carry_out(const step_id& step, const ledger::run_sample& it) {
  const auto* trainer =
      configuration_ ? config::find_trainer(*configuration_, step.first) : nullptr;
  if (trainer == nullptr) {
    context_.post([this, step, attempt = it.attempt] {
      if (auto* ledger = find(step)) {
        run(step, ledger->fail_sample(context_.now(), attempt));
      }
    });
    return;
  }
  completion_spec spec;
  spec.request_id = step.first + '-' + std::to_string(step.second) + '-' + it.attempt.sample + '-' +
                    std::to_string(it.attempt.token) + '-' + std::to_string(it.attempt.attempt);
  spec.workspace = trainer->workspace;
  spec.request_class = "rollout";
  spec.is_sample = true;
  spec.model = it.model;
  spec.prompt = it.prompt;
  spec.max_tokens = static_cast<std::int64_t>(it.max_tokens);
  spec.seed = static_cast<std::int64_t>(it.seed >> 1U);
  spec.deadline = context_.now() + sample_deadline;
  spec.cheap_allowed = true;
  // Samples must still be within the bound at delivery, so they start on a version within it.
  const std::uint64_t newest = version_of(step.first);
  const auto bound = static_cast<std::uint64_t>(trainer->staleness_bound);
  spec.minimum_version = newest > bound ? newest - bound : 0;
  for (const auto& pool : configuration_->pools) {
    if (pool.model == it.model) {
      spec.pool = pool.name;
    }
  }
  completion_callbacks callbacks;
  callbacks.on_complete = [this, step, attempt = it.attempt](const completion_result& done) {
    ledger::sample_result sample;
    sample.attempt = attempt;
    sample.text = done.text;
    sample.finish_reason = done.finish_reason;
    sample.weight_versions = done.weight_versions;
    sample.finish_reason = done.finish_reason;
    context_.post([this, step, sample = std::move(sample)] {
      if (auto* ledger = find(step)) {
        run(step, ledger->finish_sample(context_.now(), sample));
      }
    });
  };
  callbacks.on_failure = [this, step, attempt = it.attempt](const api_error& /*reason*/) {
    // Whatever ended it, the sample is owed and runs again.
    context_.post([this, step, attempt] {
      if (auto* ledger = find(step)) {
        run(step, ledger->fail_sample(context_.now(), attempt));
      }
    });
  };
  const auto number = completions_.submit(std::move(spec), std::move(callbacks));
  running_[step].push_back(number);
}

void trainer_task::carry_out(const step_id& /*step*/, const ledger::open_reply& it) {
  reply(it.request, it.outcome);
}

void trainer_task::carry_out(const step_id& /*step*/, const ledger::acknowledge_reply& it) {
  reply(it.request, it.outcome);
}

void trainer_task::carry_out(const step_id& /*step*/, const ledger::batch_reply& it) {
  const auto found = requests_.find(it.request);
  if (found == requests_.end()) {
    return;
  }
  const auto done = std::move(found->second.on_batch);
  requests_.erase(found);
  if (done) {
    done({it.kind, it.n, it.content, it.reason});
  }
}

void trainer_task::carry_out(const step_id& step, const ledger::step_event& it) {
  events::event entry;
  entry.shard = std::string(shard_prefix) + step.first;
  entry.details = {{"step", step.second}, {"batch", it.n}};
  switch (it.change) {
  case ledger::step_change::opened:
  case ledger::step_change::recovered:
    entry.number = events::event_number::step_opened;
    break;
  case ledger::step_change::batch_committed:
    entry.number = events::event_number::batch_committed;
    break;
  case ledger::step_change::batch_delivered:
    entry.number = events::event_number::batch_delivered;
    break;
  case ledger::step_change::batch_acknowledged:
  case ledger::step_change::completed:
    entry.number = events::event_number::batch_acknowledged;
    break;
  case ledger::step_change::batch_voided:
    entry.number = events::event_number::batch_voided;
    break;
  case ledger::step_change::readback:
    entry.number = events::event_number::store_readback;
    break;
  }
  context_.record(std::move(entry));
}

void trainer_task::carry_out(const step_id& step, const ledger::step_stopped& /*it*/) {
  // The ledger is on the stack; it goes after the current callback.
  context_.post([this, step] {
    const auto it = ledgers_.find(step);
    if (it != ledgers_.end() && it->second->stopped()) {
      ledgers_.erase(it);
      for (const auto number : std::exchange(running_[step], {})) {
        completions_.cancel(number);
      }
    }
  });
}

} // namespace boragedoor::daemon
