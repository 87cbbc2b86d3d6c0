#include "control_world.h"

#include <algorithm>

#include "control/shard_assignment.h"

namespace boragedoor::control {

namespace {

constexpr duration store_timeout = milliseconds(500);
constexpr duration attempt_timeout = seconds(2);
constexpr duration tick_interval = milliseconds(100);
/// Below the second that `takeover_options::max_flight_time` allows, by more than the clock error.
constexpr duration max_flight_time = milliseconds(900);

const std::vector<shard> shards = {{"dc/a", "a"}, {"trainer/t", ""}};
const std::vector<std::string> data_centres = {"a", "a", "b"};

std::string instance_name(std::size_t n) {
  return "i" + std::to_string(n);
}

} // namespace

std::vector<fault> generate_faults(std::uint64_t seed) {
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
    schedule(it.start, [this, it] { inject_fault(it); });
  }
  const duration end = fault_time + recovery_time;
  while (!queue_.empty() && queue_.begin()->first.first < end) {
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().first;
    node.mapped()();
    check_permits();
  }
  for (const shard& it : shards) {
    if (targets_[it.name].last_arrival < end - seconds(8)) {
      report_.idle_shards.push_back(it.name);
    }
  }
  return report_;
}

void control_world::schedule(duration delay, std::function<void()> run) {
  queue_.emplace(std::pair(now_ + delay, ++event_sequence_), std::move(run));
}

void control_world::run_on_process(const process_ptr& to, duration delay,
                                   std::function<void()> run) {
  schedule(delay, [this, to, run = std::move(run)]() mutable {
    if (!to->is_alive) {
      return;
    }
    if (to->paused_until > now_) {
      run_on_process(to, to->paused_until - now_, std::move(run));
      return;
    }
    run();
  });
}

duration control_world::random(duration low, duration high) {
  return duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random_));
}

bool control_world::with_probability(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

bool control_world::is_active(fault_kind kind) const {
  const auto it = faults_until_.find(kind);
  return it != faults_until_.end() && now_ < it->second;
}

time_point control_world::local_time(const process& p) const {
  const auto age = static_cast<double>((now_ - p.started).count()) * p.clock_rate;
  return time_point(seconds(1000)) + duration(static_cast<std::int64_t>(age));
}

void control_world::start(std::size_t process_index) {
  auto p = std::make_shared<process>();
  p->instance = instance_name(process_index);
  p->boot_id = "boot" + std::to_string(++boot_count_);
  p->clock_rate = std::uniform_real_distribution<double>(0.95, 1.05)(random_);
  p->started = now_;
  lease_holder_options options;
  options.instance = p->instance;
  options.boot_id = p->boot_id;
  options.address = p->instance;
  p->lease.emplace(lease_holder::create(options).value());
  for (const shard& it : shards) {
    order_gate_options gate;
    gate.shard = it.name;
    gate.boot_id = p->boot_id;
    p->tasks[it.name].gate = std::make_unique<order_gate>(gate);
  }
  processes_[process_index] = p;
  tick_process(p);
  send_list(p);
}

void control_world::send_list(const process_ptr& p) {
  std::vector<member>& actual_members = instance_lists_[now_];
  actual_members.clear();
  for (std::size_t n = 0; n < processes_.size(); ++n) {
    if (processes_[n] && processes_[n]->is_alive) {
      actual_members.push_back({instance_name(n), data_centres[n], "r", instance_name(n), {}});
    }
  }
  const duration lag = random(duration(0), seconds(4));
  const std::vector<member> listed_members =
      std::prev(instance_lists_.upper_bound(std::max(duration(0), now_ - lag)))->second;
  execute(p, p->lease->on_ranks(rank_shards(p->instance, shards, listed_members), local_time(*p)));
  for (auto& [name, it] : p->tasks) {
    if (it.active_takeover) {
      execute(p, it.active_takeover->on_instance_list(listed_members, local_time(*p)));
    }
  }
  run_on_process(p, seconds(1), [this, p] { send_list(p); });
}

void control_world::tick_process(const process_ptr& p) {
  execute(p, p->lease->tick(local_time(*p)));
  for (auto& [shard, it] : p->tasks) {
    run_task(p, shard, it);
  }
  run_on_process(p, tick_interval, [this, p] { tick_process(p); });
}

order_permit control_world::permit(const process& p, const std::string& shard) const {
  const auto& active_takeover = p.tasks.at(shard).active_takeover;
  const bool is_cleared = mode_ == world_mode::full
                              ? active_takeover && active_takeover->is_cleared(local_time(p))
                              : expiry_only_takeover().is_cleared(local_time(p));
  return {mode_ == world_mode::naive ? p.naive.permit(shard) : p.lease->permit(shard), is_cleared};
}

void control_world::run_task(const process_ptr& p, const std::string& shard, task& state) {
  if (state.active_takeover) {
    execute(p, state.active_takeover->tick(local_time(*p)));
  }
  if (state.is_stopping && state.active_takeover && state.gate->is_settled(local_time(*p))) {
    execute(p, state.active_takeover->deregister(local_time(*p)));
  }
  if (local_time(*p) >= state.next_request) {
    state.next_request = local_time(*p) + milliseconds(700);
    const std::string desired = "size=" + std::to_string(++state.requested_states);
    for (const auto handling : {token_handling::ignores, token_handling::checks}) {
      const auto* const target = handling == token_handling::ignores ? "ignoring" : "checking";
      execute(p, shard,
              state.gate->request(target, handling, desired, permit(*p, shard), local_time(*p)));
    }
  }
  execute(p, shard, state.gate->tick(permit(*p, shard), local_time(*p)));
}

void control_world::inject_fault(const fault& injected) {
  const process_ptr p = processes_[injected.process];
  ++report_.faults[injected.kind];
  // Pauses, message loss and store faults end at `fault_time`, so that the rest of the run tests
  // the recovery.
  const duration until = std::min<duration>(now_ + injected.length, fault_time);
  switch (injected.kind) {
  case fault_kind::pause:
    p->paused_until = std::max(p->paused_until, until);
    break;
  case fault_kind::pause_at_send:
    p->pause_next_send = injected.length;
    break;
  case fault_kind::kill:
    restart_process(p, injected.process, injected.length);
    break;
  case fault_kind::drain:
    run_on_process(p, duration(0), [this, p] { execute(p, p->lease->drain(local_time(*p))); });
    schedule(injected.length,
             [this, p, injected] { restart_process(p, injected.process, seconds(1)); });
    break;
  default:
    faults_until_[injected.kind] = std::max(faults_until_[injected.kind], until);
  }
}

void control_world::restart_process(const process_ptr& p, std::size_t process_index,
                                    duration downtime) {
  if (p->is_alive) {
    p->is_alive = false;
    schedule(downtime, [this, process_index] { start(process_index); });
  }
}

void control_world::send_store_call(const process_ptr& p, effect run,
                                    std::function<void()> unknown) {
  ++report_.store_calls;
  duration request = random(milliseconds(1), milliseconds(5));
  bool has_effect = true;
  bool has_answer = true;
  if (is_active(fault_kind::store_outage) ||
      (is_active(fault_kind::lose_store_requests) && with_probability(0.5))) {
    has_effect = has_answer = false;
  } else if (is_active(fault_kind::lose_store_answers) && with_probability(0.5)) {
    has_answer = false;
  } else if (is_active(fault_kind::delay_store_calls) && with_probability(0.5)) {
    request = random(milliseconds(600), seconds(3));
    has_answer = false;
  }
  if (has_effect) {
    schedule(request, [this, p, run = std::move(run), has_answer] {
      expire_leases();
      auto answer = run();
      if (has_answer) {
        run_on_process(p, milliseconds(2), std::move(answer));
      }
    });
  }
  if (!has_answer) {
    run_on_process(p, store_timeout, std::move(unknown));
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
      return p && p->is_alive && p->lease->may_act(it.name, local_time(*p));
    });
    report_.double_permits += n > 1 ? 1 : 0;
  }
}

void control_world::send(const process_ptr& p, const std::string& shard, const send_order& action) {
  if (local_time(*p) >= action.not_after) {
    execute(p, shard,
            p->tasks[shard].gate->on_attempt_failed(action.order_to_send.id, local_time(*p)));
    return;
  }
  if (p->pause_next_send && action.order_to_send.handling == token_handling::ignores) {
    p->paused_until = now_ + *p->pause_next_send;
    if (with_probability(0.3)) {
      const auto n =
          static_cast<std::size_t>(std::ranges::find(processes_, p) - processes_.begin());
      schedule(*p->pause_next_send + milliseconds(5),
               [this, p, n] { restart_process(p, n, seconds(30)); });
    }
    p->pause_next_send.reset();
  }
  // No check is made between here and the write of the bytes.
  run_on_process(p, std::max(duration(0), p->paused_until - now_),
                 [this, p, shard, action] { write_bytes(p, shard, action); });
}

void control_world::write_bytes(const process_ptr& p, const std::string& shard,
                                const send_order& action) {
  const auto answered = std::make_shared<bool>(false);
  const bool is_lost = is_active(fault_kind::lose_messages) && with_probability(0.5);
  // Half of the messages take nearly the maximum time, because only those expose a wait that is too
  // short.
  const duration flight =
      random(with_probability(0.5) ? max_flight_time - milliseconds(100) : milliseconds(1),
             max_flight_time);
  schedule(flight, [this, p, shard, action, answered, is_lost] {
    record_arrival(p, shard, action);
    if (!is_lost) {
      run_on_process(p, milliseconds(5), [this, p, shard, action, answered] {
        if (!std::exchange(*answered, true)) {
          auto& gate = *p->tasks[shard].gate;
          execute(p, shard,
                  gate.on_settled(action.order_to_send.id, permit(*p, shard), local_time(*p)));
        }
      });
    }
  });
  // A connection may break while its bytes are still in flight.
  const duration failure = is_lost ? random(milliseconds(5), attempt_timeout) : attempt_timeout;
  run_on_process(p, failure, [this, p, shard, action, answered] {
    if (!std::exchange(*answered, true)) {
      execute(p, shard,
              p->tasks[shard].gate->on_attempt_failed(action.order_to_send.id, local_time(*p)));
    }
  });
}

void control_world::record_arrival(const process_ptr& from, const std::string& shard,
                                   const send_order& action) {
  if (action.order_to_send.handling == token_handling::checks) {
    return; // These targets reject lower tokens themselves.
  }
  ++report_.arrivals;
  target_log& log = targets_[shard];
  report_.conflicts += action.token < log.highest_token ? 1 : 0;
  log.highest_token = std::max(log.highest_token, action.token);
  log.last_arrival = now_;
  std::string& last = log.last_order_id[from->boot_id];
  if (last != action.order_to_send.id) {
    log.replaced.insert(from->boot_id + last);
    last = action.order_to_send.id;
  }
  report_.replaced_orders += log.replaced.contains(from->boot_id + last) ? 1 : 0;
}

} // namespace boragedoor::control
