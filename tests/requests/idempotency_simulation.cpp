#include "requests/idempotency_simulation.h"

#include <algorithm>

namespace boragedoor::requests {

using testing::pick;

idempotency_simulation::idempotency_simulation(std::uint64_t seed, testing::fault_counts& counts)
    : random_(seed), counts_(counts), store_(random_, counts) {
  ++counts_.schedules;
  store_.on_gone = [this](std::size_t client, const std::string& key) {
    checker_.on_record_absent(client, keys_by_record_key_[key], last_call_);
  };
  for (int n = 0; n < 3; ++n) {
    const std::size_t client = ++last_client_;
    instances_.push_back(
        {idempotency_table::create("i" + std::to_string(n), std::to_string(client)),
         client,
         {},
         {},
         {},
         {},
         false,
         milliseconds(pick(random_, 4000))});
  }
}

wall_time idempotency_simulation::wall(const instance& target) const {
  return wall_time(std::chrono::hours(1)) + now_.time_since_epoch() + target.clock_offset;
}

void idempotency_simulation::enqueue(instance& target, idempotency_actions actions) {
  for (idempotency_action& it : actions) {
    target.pending_actions.push_back(std::move(it));
  }
}

void idempotency_simulation::random_step(bool inject_faults) {
  ++counts_.steps;
  now_ += milliseconds(pick(random_, 20));
  store_.step(inject_faults);
  instance& target = instances_[pick(random_, instances_.size())];
  const std::uint64_t choice = pick(random_, 200);
  if (inject_faults && choice == 0) {
    restart(target);
  } else if (inject_faults && choice < 4) {
    target.paused = !target.paused;
    counts_.count("pauses", target.paused ? 1 : 0);
  } else if (target.paused) {
    return;
  } else if (inject_faults && choice < 10) {
    begin(target);
  } else if (choice < 90) {
    execute_next_action(target, inject_faults);
  } else if (choice < 150) {
    deliver_store_result(target);
  } else if (choice < 170) {
    deliver_response(target);
  } else {
    enqueue(target, target.table.tick(now_));
  }
}

void idempotency_simulation::begin(instance& target) {
  const std::uint64_t id = ++last_call_;
  // Consecutive calls reuse the same few keys, so that resends overlap.
  const std::string key = "key" + std::to_string(id / 6 + pick(random_, 2));
  const std::string body_hash = pick(random_, 10) == 0 ? "other" : "hash";
  keys_by_record_key_[idempotency_record_key("north", key)] = key;
  target.calls[id] = {key, body_hash};
  const duration limit = milliseconds(200 + pick(random_, 3000));
  enqueue(target, target.table.begin(now_, wall(target),
                                     {id, "north", key, body_hash, now_ + limit,
                                      wall(target) + limit, pick(random_, 2) == 0}));
}

void idempotency_simulation::restart(instance& target) {
  counts_.count("instance crashes");
  target.client = ++last_client_;
  target.table = idempotency_table::create("i", std::to_string(target.client));
  target.pending_actions.clear();
  target.calls.clear();
  target.claimed.clear();
  target.responses.clear();
}

void idempotency_simulation::deliver_store_result(instance& target) {
  testing::store_result result;
  if (!store_.take(target.client, result)) {
    return;
  }
  if (const auto* write = std::get_if<store_write_result>(&result)) {
    enqueue(target, target.table.finish_write(now_, *write));
  } else {
    enqueue(target,
            target.table.finish_read(now_, wall(target), std::get<store_read_result>(result)));
  }
}

void idempotency_simulation::execute_next_action(instance& target, bool inject_faults) {
  if (target.pending_actions.empty()) {
    return;
  }
  const idempotency_action it = std::move(target.pending_actions.front());
  target.pending_actions.pop_front();
  if (const auto* put = std::get_if<store_put>(&it)) {
    store_.submit(target.client, *put);
  } else if (const auto* get = std::get_if<store_get>(&it)) {
    store_.submit(target.client, *get);
  } else if (const auto* erase = std::get_if<store_delete>(&it)) {
    store_.submit(target.client, *erase);
  } else if (const auto* claimed = std::get_if<request_claimed>(&it)) {
    const std::uint64_t choice = pick(random_, 5);
    if (choice == 0) {
      counts_.count("releases before sending");
      enqueue(target, target.table.release(now_, claimed->id));
    } else if (choice < 4) {
      enqueue(target, target.table.mark_sent(now_, claimed->id));
    }
  } else if (const auto* sent = std::get_if<send_request>(&it)) {
    send(target, sent->id, inject_faults);
  } else if (const auto* reply = std::get_if<idempotency_reply>(&it)) {
    call& target_call = target.calls.at(reply->id);
    target_call.replied = true;
    checker_.on_reply(target.client, target_call.key, target_call.body_hash, reply->id,
                      reply->status, reply->response);
  }
}

void idempotency_simulation::send(instance& target, std::uint64_t id, bool inject_faults) {
  const call& target_call = target.calls.at(id);
  const std::uint64_t fault = inject_faults ? pick(random_, 6) : 6;
  if (fault == 0) {
    counts_.count("connections refused");
    enqueue(target, target.table.release(now_, id));
    return;
  }
  if (fault == 1) {
    counts_.count("requests lost in transit");
    enqueue(target, target.table.finish_unknown(now_, id));
    return;
  }
  const stored_response response = checker_.on_executed(target_call.key, target_call.body_hash, id);
  if (fault == 2) {
    counts_.count("endpoint responses lost");
    enqueue(target, target.table.finish_unknown(now_, id));
  } else {
    target.responses.emplace_back(id, response);
  }
}

void idempotency_simulation::deliver_response(instance& target) {
  if (!target.responses.empty()) {
    const auto [id, response] = target.responses.back();
    target.responses.pop_back();
    enqueue(target, target.table.finish(now_, id, response));
  }
}

void idempotency_simulation::run(std::uint64_t steps) {
  for (std::uint64_t n = 0; n < steps; ++n) {
    random_step(true);
  }
  for (instance& it : instances_) {
    it.paused = false;
  }
  for (std::uint64_t n = 0; n < steps; ++n) {
    random_step(false);
  }
  for (const auto& [status, n] : checker_.replies()) {
    counts_.count("replies " + std::string(to_string(status)), n);
  }
}

std::size_t idempotency_simulation::unanswered() const {
  std::size_t n = 0;
  for (const instance& it : instances_) {
    n += static_cast<std::size_t>(
        std::ranges::count_if(it.calls, [](const auto& each) { return !each.second.replied; }));
  }
  return n;
}

} // namespace boragedoor::requests
