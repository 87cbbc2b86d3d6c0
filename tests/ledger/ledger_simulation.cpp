#include "ledger/ledger_simulation.h"

namespace boragedoor::ledger {

using testing::pick;

step_spec small_step_spec(std::size_t groups) {
  step_spec spec{"model", 5, 1, 16, {}};
  for (std::size_t n = 0; n < groups; ++n) {
    spec.groups.push_back(
        {"g" + std::to_string(n), "prompt", static_cast<std::uint32_t>(1 + n % 3)});
  }
  return spec;
}

ledger_simulation::ledger_simulation(std::uint64_t seed, testing::fault_counts& counts)
    : random_(seed), counts_(counts), store_(random_, counts),
      spec_(small_step_spec(1 + pick(random_, 6))), checker_(spec_) {
  ++counts_.schedules;
  start_holder();
}

void ledger_simulation::start_holder() {
  ledger_options options;
  options.batch_bytes = 600 + pick(random_, 400);
  options.batch_linger = milliseconds(pick(random_, 500));
  options.max_running = 1 + static_cast<std::uint32_t>(pick(random_, 8));
  const std::uint64_t token = holders_.size() + 1;
  holders_.push_back(
      std::make_unique<holder>(holder{step_ledger::create("t", 1, token, trainer_version_, options),
                                      token,
                                      {},
                                      {},
                                      trainer_version_}));
  holder& it = *holders_.back();
  // A trainer without a reply repeats its `open` at any holder.
  queue_actions(it,
                pick(random_, 2) == 0 ? it.ledger.recover(now_) : it.ledger.open(now_, 0, spec_));
  queue_actions(it, it.ledger.open(now_, 0, spec_));
}

void ledger_simulation::queue_actions(holder& to, actions out) {
  const batch_reply* reply = nullptr;
  for (action& it : out) {
    if (const auto* sent = std::get_if<batch_reply>(&it)) {
      reply = sent;
    }
    if (std::holds_alternative<step_stopped>(it) && &to == holders_.back().get()) {
      checker_.add_violation("the newest holder stopped unexpectedly");
    }
    const auto* event = std::get_if<step_event>(&it);
    if (event != nullptr && event->change == step_change::batch_delivered) {
      checker_.first_delivery(event->n, reply->content, to.version);
    }
    counts_.count("voided batches",
                  event != nullptr && event->change == step_change::batch_voided ? 1 : 0);
  }
  for (action& it : out) {
    to.pending_actions.push_back(std::move(it));
  }
}

void ledger_simulation::run(std::uint64_t steps) {
  for (std::uint64_t n = 0; n < steps && !complete_; ++n) {
    random_step(true);
  }
  for (auto& it : holders_) {
    it->paused = false;
  }
  for (std::uint64_t n = 0; n < 500 && !complete_; ++n) {
    fault_free_step();
  }
  if (complete_) {
    checker_.finish();
  }
}

ledger_simulation::holder& ledger_simulation::pick_holder() {
  // Prefer the newest holder. Previous holders still get requests through outdated addresses.
  const std::size_t back = pick(random_, 3) == 0 ? pick(random_, holders_.size()) : 0;
  return *holders_[holders_.size() - 1 - back];
}

void ledger_simulation::random_step(bool faulty) {
  ++counts_.steps;
  now_ += milliseconds(pick(random_, 20));
  store_.step(faulty);
  const std::uint64_t what = pick(random_, 100);
  const std::size_t at = pick(random_, holders_.size());
  holder& it = *holders_[at];
  if (what < 2 && faulty) {
    start_replacement_holder();
  } else if (it.paused || it.crashed) {
    return;
  } else if (what < 40) {
    execute_next_action(at);
  } else if (what < 60) {
    deliver_store_result(it);
  } else if (what < 75) {
    finish_sample(it, faulty);
  } else if (what < 87) {
    poll(faulty);
  } else if (what < 89 && faulty) {
    publish_version();
  } else {
    queue_actions(it, it.ledger.tick(now_));
  }
}

void ledger_simulation::fault_free_step() {
  now_ += milliseconds(100);
  poll(false);
  for (std::size_t at = 0; at < holders_.size(); ++at) {
    holder& it = *holders_[at];
    if (it.crashed) {
      continue;
    }
    queue_actions(it, it.ledger.tick(now_));
    while (!it.pending_actions.empty()) {
      execute_next_action(at);
    }
    while (!store_.idle()) {
      store_.step(false);
    }
    for (int n = 0; n < 20; ++n) {
      deliver_store_result(it);
      finish_sample(it, false);
    }
  }
}

void ledger_simulation::start_replacement_holder() {
  if (holders_.size() == 12) {
    return;
  }
  holder& newest = *holders_.back();
  newest.paused = pick(random_, 2) == 0;
  counts_.count(newest.paused ? "pauses" : "takeovers from a running holder");
  if (pick(random_, 3) == 0) {
    // The process crashes: its pending actions are never executed.
    newest.crashed = true;
    counts_.count("holder crashes");
  }
  for (auto& it : holders_) {
    it->paused = it->paused && pick(random_, 4) != 0;
  }
  start_holder();
}

void ledger_simulation::deliver_store_result(holder& to) {
  testing::store_result result;
  if (!store_.take(to.token, result)) {
    return;
  }
  if (const auto* write = std::get_if<store_write_result>(&result)) {
    queue_actions(to, to.ledger.finish_write(now_, *write));
  } else {
    queue_actions(to, to.ledger.finish_read(now_, std::get<store_read_result>(result)));
  }
}

void ledger_simulation::execute_next_action(std::size_t at) {
  holder& it = *holders_[at];
  if (it.pending_actions.empty()) {
    return;
  }
  action next = std::move(it.pending_actions.front());
  it.pending_actions.pop_front();
  if (auto* put = std::get_if<store_put>(&next)) {
    store_.submit(it.token, std::move(*put));
  } else if (auto* get = std::get_if<store_get>(&next)) {
    store_.submit(it.token, std::move(*get));
  } else if (auto* erase = std::get_if<store_delete>(&next)) {
    store_.submit(it.token, std::move(*erase));
  } else if (auto* run = std::get_if<run_sample>(&next)) {
    it.running.push_back(std::move(*run));
  } else if (const auto* reply = std::get_if<batch_reply>(&next)) {
    handle_batch_reply(*reply);
  }
}

void ledger_simulation::finish_sample(holder& at, bool faulty) {
  if (at.running.empty()) {
    return;
  }
  const std::size_t n = pick(random_, at.running.size());
  const sample_attempt attempt = at.running[n].attempt;
  // Keep the attempt, so that it can report a second result after it was superseded.
  const bool keep = faulty && pick(random_, 8) == 0;
  if (!keep) {
    at.running.erase(at.running.begin() + static_cast<std::ptrdiff_t>(n));
  }
  counts_.count("repeated results", keep ? 1 : 0);
  if (faulty && pick(random_, 6) == 0) {
    counts_.count("failed samples");
    queue_actions(at, at.ledger.fail_sample(now_, attempt));
  } else {
    queue_actions(at, at.ledger.finish_sample(now_, make_result(attempt)));
  }
}

sample_result ledger_simulation::make_result(const sample_attempt& attempt) {
  const std::string name =
      attempt.sample + "#" + std::to_string(attempt.token) + "." + std::to_string(attempt.attempt);
  if (!finished_attempts_.insert(name).second) {
    // The checker does not know this result and reports a violation if the ledger accepts it.
    return {attempt, "a second result of the same attempt", {trainer_version_}, {}};
  }
  sample_result result{
      attempt, name + std::string(pick(random_, 200), 'x'), {trainer_version_}, {}};
  if (pick(random_, 3) == 0) {
    result.weight_versions.push_back(trainer_version_ - 1);
  }
  checker_.produced(result);
  return result;
}

void ledger_simulation::poll(bool faulty) {
  holder& at = faulty ? pick_holder() : *holders_.back();
  if (at.paused || at.crashed) {
    return;
  }
  at.version = trainer_version_;
  if (faulty && pick(random_, 4) == 0 && after_ != 0) {
    queue_actions(at, at.ledger.announce_version(now_, trainer_version_));
    queue_actions(at, at.ledger.acknowledge(now_, ++last_request_, after_));
  } else {
    queue_actions(at, at.ledger.poll(now_, ++last_request_, after_, now_ + milliseconds(200),
                                     trainer_version_));
  }
}

void ledger_simulation::handle_batch_reply(const batch_reply& reply) {
  complete_ = complete_ || reply.kind == batch_reply_kind::complete;
  if (reply.kind != batch_reply_kind::batch) {
    return;
  }
  if (pick(random_, 5) == 0) {
    counts_.count("lost batches");
    return;
  }
  // Replies to earlier polls can arrive late, so keep the highest batch number.
  checker_.received(reply.n, reply.content);
  after_ = std::max(after_, reply.n);
}

void ledger_simulation::publish_version() {
  ++trainer_version_;
  counts_.count("published versions");
  for (auto& it : holders_) {
    if (!it->paused && !it->crashed) {
      it->version = trainer_version_;
      queue_actions(*it, it->ledger.announce_version(now_, trainer_version_));
    }
  }
}

std::uint64_t ledger_simulation::store_calls() const {
  std::uint64_t n = 0;
  for (const auto& it : holders_) {
    n += it->ledger.calls().puts + it->ledger.calls().gets + it->ledger.calls().deletes;
  }
  return n;
}

} // namespace boragedoor::ledger
