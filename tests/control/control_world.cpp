#include "control_world.h"

#include <algorithm>

#include "control/shard_assignment.h"

namespace boragedoor::control {

namespace {

constexpr duration store_timeout = milliseconds(500);
constexpr duration attempt_timeout = seconds(2);
constexpr duration tick_interval = milliseconds(100);
/// Below the second that the takeover allows for bytes in flight, by more than the clock error.
constexpr duration longest_flight = milliseconds(900);

const std::vector<shard> shards = {{"dc/a", "a"}, {"trainer/t", ""}};
const std::vector<std::string> data_centres = {"a", "a", "b"};

std::string instance_name(std::size_t n) {
  return "i" + std::to_string(n);
}

} // namespace

std::vector<fault> draw_faults(std::uint64_t seed) {
  random_engine random(seed);
  std::vector<fault> list;
  const auto n = 4 + random() % 12;
  for (std::uint64_t i = 0; i < n; ++i) {
    list.push_back({static_cast<fault_kind>(random() % static_cast<int>(fault_kind::count)),
                    random() % 3, milliseconds(random() % 60000),
                    milliseconds(100 + random() % 20000)});
  }
  return list;
}

control_world::control_world(world_mode mode, std::uint64_t seed, std::vector<fault> faults)
    : mode_(mode), random_(seed), faults_(std::move(faults)) {}

const world_report& control_world::run() {
  processes_.resize(data_centres.size());
  for (std::size_t n = 0; n < processes_.size(); ++n) {
    start(n);
  }
  for (const fault& it : faults_) {
    at(it.at, [this, it] { inject(it); });
  }
  const duration end = fault_time + quiet_time;
  while (!queue_.empty() && queue_.begin()->first.first < end) {
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().first;
    node.mapped()();
    check_permits();
  }
  for (const shard& it : shards) {
    if (targets_[it.name].last_arrival < end - seconds(8)) {
      report_.silent_shards.push_back(it.name);
    }
  }
  return report_;
}

void control_world::at(duration delay, std::function<void()> run) {
  queue_.emplace(std::pair(now_ + delay, ++order_), std::move(run));
}

void control_world::deliver(const process_ptr& to, duration delay, std::function<void()> run) {
  at(delay, [this, to, run = std::move(run)]() mutable {
    if (!to->is_alive) {
      return;
    }
    if (to->paused_until > now_) {
      deliver(to, to->paused_until - now_, std::move(run));
      return;
    }
    run();
  });
}

duration control_world::random(duration low, duration high) {
  return duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random_));
}

bool control_world::flip(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

bool control_world::is_active(fault_kind kind) const {
  const auto it = active_until_.find(kind);
  return it != active_until_.end() && now_ < it->second;
}

time_point control_world::local(const process& p) const {
  const auto age = static_cast<double>((now_ - p.started).count()) * p.clock_rate;
  return time_point(seconds(1000)) + duration(static_cast<std::int64_t>(age));
}

void control_world::start(std::size_t n) {
  auto p = std::make_shared<process>();
  p->instance = instance_name(n);
  p->boot = "boot" + std::to_string(++boots_);
  p->clock_rate = std::uniform_real_distribution<double>(0.95, 1.05)(random_);
  p->started = now_;
  lease_holder_options options;
  options.instance = p->instance;
  options.boot_id = p->boot;
  options.address = p->instance;
  p->lease.emplace(lease_holder::create(options).value());
  for (const shard& it : shards) {
    order_gate_options gate;
    gate.shard = it.name;
    gate.boot_id = p->boot;
    p->tasks[it.name].gate = std::make_unique<order_gate>(gate);
  }
  processes_[n] = p;
  step(p);
  send_list(p);
}

void control_world::send_list(const process_ptr& p) {
  std::vector<member>& truth = lists_[now_];
  truth.clear();
  for (std::size_t n = 0; n < processes_.size(); ++n) {
    if (processes_[n] && processes_[n]->is_alive) {
      truth.push_back({instance_name(n), data_centres[n], "r", instance_name(n), {}});
    }
  }
  const duration lag = random(duration(0), seconds(4));
  const std::vector<member> seen =
      std::prev(lists_.upper_bound(std::max(duration(0), now_ - lag)))->second;
  carry_out(p, p->lease->on_ranks(rank_shards(p->instance, shards, seen), local(*p)));
  for (auto& [name, it] : p->tasks) {
    if (it.clearing) {
      carry_out(p, it.clearing->on_list(seen, local(*p)));
    }
  }
  deliver(p, seconds(1), [this, p] { send_list(p); });
}

void control_world::step(const process_ptr& p) {
  carry_out(p, p->lease->tick(local(*p)));
  for (auto& [shard, it] : p->tasks) {
    run_task(p, shard, it);
  }
  deliver(p, tick_interval, [this, p] { step(p); });
}

order_permit control_world::permit(const process& p, const std::string& shard) const {
  const auto& clearing = p.tasks.at(shard).clearing;
  const bool is_cleared = mode_ == world_mode::full ? clearing && clearing->is_cleared(local(p))
                                                    : expiry_only_takeover().is_cleared(local(p));
  return {mode_ == world_mode::naive ? p.naive.permit(shard) : p.lease->permit(shard), is_cleared};
}

void control_world::run_task(const process_ptr& p, const std::string& shard, task& it) {
  if (it.clearing) {
    carry_out(p, it.clearing->tick(local(*p)));
  }
  if (it.is_stopping && it.clearing && it.gate->is_settled(local(*p))) {
    carry_out(p, it.clearing->leave(local(*p)));
  }
  if (local(*p) >= it.next_wish) {
    it.next_wish = local(*p) + milliseconds(700);
    const std::string wish = "size=" + std::to_string(++it.wishes);
    for (const auto handling : {token_handling::ignores, token_handling::checks}) {
      const auto* const target = handling == token_handling::ignores ? "ignoring" : "checking";
      carry_out(p, shard, it.gate->request(target, handling, wish, permit(*p, shard), local(*p)));
    }
  }
  carry_out(p, shard, it.gate->tick(permit(*p, shard), local(*p)));
}

void control_world::inject(const fault& it) {
  const process_ptr p = processes_[it.process];
  ++report_.faults[it.kind];
  // Faults end with the fault time, so that the rest of the run shows the recovery.
  const duration until = std::min<duration>(now_ + it.length, fault_time);
  switch (it.kind) {
  case fault_kind::pause:
    p->paused_until = std::max(p->paused_until, until);
    break;
  case fault_kind::pause_at_send:
    p->pause_next_send = it.length;
    break;
  case fault_kind::kill:
    stop_process(p, it.process, it.length);
    break;
  case fault_kind::drain:
    deliver(p, duration(0), [this, p] { carry_out(p, p->lease->drain(local(*p))); });
    at(it.length, [this, p, it] { stop_process(p, it.process, seconds(1)); });
    break;
  default:
    active_until_[it.kind] = std::max(active_until_[it.kind], until);
  }
}

void control_world::stop_process(const process_ptr& p, std::size_t n, duration down) {
  if (p->is_alive) {
    p->is_alive = false;
    at(down, [this, n] { start(n); });
  }
}

void control_world::call_store(const process_ptr& p, effect run, std::function<void()> unknown) {
  ++report_.store_calls;
  duration request = random(milliseconds(1), milliseconds(5));
  bool has_effect = true;
  bool has_answer = true;
  if (is_active(fault_kind::store_outage) ||
      (is_active(fault_kind::lose_store_requests) && flip(0.5))) {
    has_effect = has_answer = false;
  } else if (is_active(fault_kind::lose_store_answers) && flip(0.5)) {
    has_answer = false;
  } else if (is_active(fault_kind::delay_store_calls) && flip(0.5)) {
    request = random(milliseconds(600), seconds(3));
    has_answer = false;
  }
  if (has_effect) {
    at(request, [this, p, run = std::move(run), has_answer] {
      expire_leases();
      auto answer = run();
      if (has_answer) {
        deliver(p, milliseconds(2), std::move(answer));
      }
    });
  }
  if (!has_answer) {
    deliver(p, store_timeout, std::move(unknown));
  }
}

void control_world::expire_leases() {
  std::erase_if(store_leases_, [&](const auto& it) { return it.second <= now_; });
  std::erase_if(lease_keys_, [&](const auto& it) {
    return !store_leases_.contains(it.second.record.acquired_by);
  });
}

void control_world::check_permits() {
  for (const shard& it : shards) {
    const auto n = std::ranges::count_if(processes_, [&](const process_ptr& p) {
      return p && p->is_alive && p->lease->may_act(it.name, local(*p));
    });
    report_.double_permits += n > 1 ? 1 : 0;
  }
}

void control_world::send(const process_ptr& p, const std::string& shard, const send_order& it) {
  if (local(*p) >= it.not_after) {
    carry_out(p, shard, p->tasks[shard].gate->on_attempt_failed(it.what.id, local(*p)));
    return;
  }
  if (p->pause_next_send && it.what.handling == token_handling::ignores) {
    p->paused_until = now_ + *p->pause_next_send;
    if (flip(0.3)) {
      const auto n =
          static_cast<std::size_t>(std::ranges::find(processes_, p) - processes_.begin());
      at(*p->pause_next_send + milliseconds(5), [this, p, n] { stop_process(p, n, seconds(30)); });
    }
    p->pause_next_send.reset();
  }
  // Nothing is checked between here and the write.
  deliver(p, std::max(duration(0), p->paused_until - now_),
          [this, p, shard, it] { write_bytes(p, shard, it); });
}

void control_world::write_bytes(const process_ptr& p, const std::string& shard,
                                const send_order& it) {
  const auto answered = std::make_shared<bool>(false);
  const bool is_lost = is_active(fault_kind::lose_messages) && flip(0.5);
  // Half of the messages take nearly the longest time, which is where a short wait fails.
  const duration flight =
      random(flip(0.5) ? longest_flight - milliseconds(100) : milliseconds(1), longest_flight);
  at(flight, [this, p, shard, it, answered, is_lost] {
    arrive(p, shard, it);
    if (!is_lost) {
      deliver(p, milliseconds(5), [this, p, shard, it, answered] {
        if (!std::exchange(*answered, true)) {
          auto& gate = *p->tasks[shard].gate;
          carry_out(p, shard, gate.on_settled(it.what.id, permit(*p, shard), local(*p)));
        }
      });
    }
  });
  // A connection may break while its bytes are still on their way.
  const duration failure = is_lost ? random(milliseconds(5), attempt_timeout) : attempt_timeout;
  deliver(p, failure, [this, p, shard, it, answered] {
    if (!std::exchange(*answered, true)) {
      carry_out(p, shard, p->tasks[shard].gate->on_attempt_failed(it.what.id, local(*p)));
    }
  });
}

void control_world::arrive(const process_ptr& from, const std::string& shard,
                           const send_order& it) {
  if (it.what.handling == token_handling::checks) {
    return; // The target itself rejects lower tokens.
  }
  ++report_.arrivals;
  target_log& log = targets_[shard];
  report_.conflicts += it.token < log.highest ? 1 : 0;
  log.highest = std::max(log.highest, it.token);
  log.last_arrival = now_;
  std::string& last = log.last_id[from->boot];
  if (last != it.what.id) {
    log.replaced.insert(from->boot + last);
    last = it.what.id;
  }
  report_.replaced_orders += log.replaced.contains(from->boot + last) ? 1 : 0;
}

} // namespace boragedoor::control
