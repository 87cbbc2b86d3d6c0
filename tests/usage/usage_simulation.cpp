#include "usage/usage_simulation.h"

#include <algorithm>

namespace boragedoor::usage {

using testing::pick;

namespace {

constexpr duration window_length = seconds(1);
constexpr std::size_t max_holders = 10;

template <class T>
T take_at(std::vector<T>& from, std::size_t at) {
  T it = std::move(from[at]);
  from.erase(from.begin() + static_cast<std::ptrdiff_t>(at));
  return it;
}

} // namespace

usage_simulation::usage_simulation(std::uint64_t seed, testing::fault_counts& counts)
    : random_(seed), counts_(counts), store_(random_, counts), shard_(shard_of("north")) {
  ++counts_.schedules;
  for (const char* name : {"i1", "i2", "i3"}) {
    const usage_source source{name, "b0"};
    instances_.push_back({source, usage_counter::create(source, window_length)});
  }
  start_holder();
}

void usage_simulation::start_holder() {
  window_options options;
  options.window_length = window_length;
  options.grace = milliseconds(300);
  options.takeover_wait = milliseconds(200);
  options.checkpoint_interval = milliseconds(100 + pick(random_, 500));
  const std::uint64_t token = holders_.size() + 1;
  holders_.push_back(
      std::make_unique<holder>(holder{usage_window::create(shard_, token, options), token, {}}));
  feed(*holders_.back(), holders_.back()->window.start(now_));
  for (instance& it : instances_) {
    it.counter.holder_changed(now_, shard_);
  }
}

void usage_simulation::feed(holder& to, actions out) {
  for (action& it : out) {
    if (std::holds_alternative<window_stopped>(it) && &to == holders_.back().get()) {
      checker_.violation("the newest holder stopped");
    }
    to.todo.push_back(std::move(it));
  }
}

void usage_simulation::random_step() {
  ++counts_.steps;
  const duration passed = milliseconds(pick(random_, 10));
  now_ += passed;
  wall_ += passed;
  store_.step(true);
  holder& it =
      *holders_[holders_.size() - 1 - (pick(random_, 3) == 0 ? pick(random_, holders_.size()) : 0)];
  instance& at = instances_[pick(random_, instances_.size())];
  const std::uint64_t what = pick(random_, 200);
  if (what == 0) {
    replace_holder();
  } else if (what == 1) {
    restart(at);
  } else if (what < 40) {
    record(at);
  } else if (what < 60) {
    send_flushes(at, true);
  } else if (what < 90) {
    deliver_flush(true);
  } else if (what < 110 && !answers_.empty()) {
    answer(take_at(answers_, pick(random_, answers_.size())));
  } else if (!it.paused && !it.dead) {
    if (what < 150) {
      carry_out(it, true);
    } else if (what < 180) {
      receive(it);
    } else {
      feed(it, it.window.tick(now_, wall_, &it == holders_.back().get()));
    }
  }
}

void usage_simulation::replace_holder() {
  if (holders_.size() == max_holders) {
    return;
  }
  holder& newest = *holders_.back();
  newest.dead = pick(random_, 2) == 0;
  newest.paused = pick(random_, 2) == 0;
  counts_.count(newest.dead     ? "holder deaths"
                : newest.paused ? "pauses"
                                : "takeovers from a live holder");
  for (auto& it : holders_) {
    it->paused = it->paused && pick(random_, 3) != 0;
  }
  start_holder();
}

void usage_simulation::restart(instance& it) {
  counts_.count("instance restarts");
  checker_.died(it.source);
  it.source.boot = "b" + std::to_string(++boots_);
  it.counter = usage_counter::create(it.source, window_length);
}

void usage_simulation::record(instance& it) {
  const usage_key key{"north", pick(random_, 2) == 0 ? "online" : "batch", 0};
  const usage_figures figures{1, pick(random_, 100), pick(random_, 100), pick(random_, 1U << 30U)};
  // Work is counted when it ends, and a clock may be behind by some seconds.
  const wall_time at = wall_ - milliseconds(pick(random_, 10) == 0 ? pick(random_, 3000) : 0);
  it.counter.record(now_, at, key, figures);
  checker_.recorded(it.source, window_of(at, window_length), key, figures);
}

void usage_simulation::send_flushes(instance& it, bool faulty) {
  for (usage_flush& flush : it.counter.flush(now_)) {
    if (faulty && pick(random_, 5) == 0) {
      counts_.count("lost flushes");
      continue;
    }
    flushes_.push_back(std::move(flush));
  }
}

void usage_simulation::deliver_flush(bool faulty) {
  if (flushes_.empty()) {
    return;
  }
  const usage_flush flush = take_at(flushes_, pick(random_, flushes_.size()));
  if (faulty && pick(random_, 5) == 0) {
    counts_.count("repeated flushes");
    flushes_.push_back(flush);
  }
  const std::size_t back = faulty && pick(random_, 5) == 0 ? pick(random_, holders_.size()) : 0;
  holder& to = *holders_[holders_.size() - 1 - back];
  if (!to.paused && !to.dead) {
    feed(to, to.window.flush(now_, flush));
  }
}

void usage_simulation::receive(holder& to) {
  testing::store_result result;
  if (!store_.take(to.token, result)) {
    return;
  }
  if (const auto* write = std::get_if<store_write_result>(&result)) {
    feed(to, to.window.finish_write(now_, *write));
  } else {
    feed(to, to.window.finish_read(now_, std::get<store_read_result>(result)));
  }
}

void usage_simulation::carry_out(holder& from, bool faulty) {
  if (from.todo.empty()) {
    return;
  }
  const action it = std::move(from.todo.front());
  from.todo.pop_front();
  if (const auto* put = std::get_if<store_put>(&it)) {
    store_.submit(from.token, *put);
  } else if (const auto* get = std::get_if<store_get>(&it)) {
    store_.submit(from.token, *get);
  } else if (const auto* report = std::get_if<send_report>(&it)) {
    take_report(from, *report, faulty);
  } else if (faulty && pick(random_, 5) == 0) {
    counts_.count("lost answers to instances");
  } else {
    answers_.push_back(it);
    if (faulty && pick(random_, 5) == 0) {
      counts_.count("repeated answers to instances");
      answers_.push_back(it);
    }
  }
}

void usage_simulation::answer(const action& it) {
  for (instance& to : instances_) {
    if (const auto* merged = std::get_if<usage_flush_merged>(&it)) {
      to.counter.merged(now_, *merged);
    } else if (const auto* frozen = std::get_if<usage_window_frozen>(&it)) {
      to.counter.frozen(now_, *frozen);
    }
  }
}

void usage_simulation::take_report(holder& from, const send_report& it, bool faulty) {
  const std::uint64_t fault = faulty ? pick(random_, 4) : 3;
  if (fault != 0) {
    checker_.reported(it.report_id, it.body);
  }
  counts_.count("lost reports", fault == 0 ? 1 : 0);
  counts_.count("lost report answers", fault == 1 ? 1 : 0);
  feed(from, from.window.finish_report(now_, it.report_id, fault > 1));
}

bool usage_simulation::settled() const {
  return std::ranges::all_of(instances_,
                             [](const instance& it) { return it.counter.windows_kept() == 0; }) &&
         holders_.back()->window.state().unreported.empty();
}

void usage_simulation::calm_step() {
  now_ += milliseconds(500);
  wall_ += milliseconds(500);
  for (instance& it : instances_) {
    send_flushes(it, false);
  }
  while (!flushes_.empty()) {
    deliver_flush(false);
  }
  for (auto& it : holders_) {
    if (it->dead) {
      continue;
    }
    feed(*it, it->window.tick(now_, wall_, it == holders_.back()));
    for (int n = 0; n < 50; ++n) {
      carry_out(*it, false);
      store_.step(false);
      receive(*it);
    }
  }
  while (!answers_.empty()) {
    answer(take_at(answers_, 0));
  }
}

void usage_simulation::run(std::uint64_t steps) {
  for (std::uint64_t n = 0; n < steps; ++n) {
    random_step();
  }
  for (auto& it : holders_) {
    it->paused = false;
  }
  for (int n = 0; n < 300 && !(n > 100 && settled()); ++n) {
    calm_step();
  }
  finish();
}

void usage_simulation::finish() {
  std::vector<frozen_window> windows;
  for (const auto& [key, cell] : store_.cells()) {
    if (!key.ends_with("/open")) {
      windows.push_back(frozen_window_from_text(cell.value).value());
    }
  }
  checker_.finish(windows);
}

} // namespace boragedoor::usage
