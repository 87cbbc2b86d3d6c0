#include "requests/once_simulation.h"

#include <algorithm>

namespace boragedoor::requests {

using testing::pick;

once_simulation::once_simulation(std::uint64_t seed, testing::fault_counts& counts)
    : random_(seed), counts_(counts), store_(random_, counts) {
  ++counts_.schedules;
  store_.on_gone = [this](std::size_t client, const std::string& key) {
    checker_.gone(client, names_[key], last_call_);
  };
  for (int n = 0; n < 3; ++n) {
    const std::size_t client = ++last_client_;
    instances_.push_back({once_table::create("i" + std::to_string(n), std::to_string(client)),
                          client,
                          {},
                          {},
                          {},
                          {},
                          false,
                          milliseconds(pick(random_, 4000))});
  }
}

wall_time once_simulation::wall(const instance& at) const {
  return wall_time(std::chrono::hours(1)) + now_.time_since_epoch() + at.clock;
}

void once_simulation::feed(instance& at, once_actions out) {
  for (once_action& it : out) {
    at.todo.push_back(std::move(it));
  }
}

void once_simulation::random_step(bool faulty) {
  ++counts_.steps;
  now_ += milliseconds(pick(random_, 20));
  store_.step(faulty);
  instance& at = instances_[pick(random_, instances_.size())];
  const std::uint64_t what = pick(random_, 200);
  if (faulty && what == 0) {
    restart(at);
  } else if (faulty && what < 4) {
    at.paused = !at.paused;
    counts_.count("pauses", at.paused ? 1 : 0);
  } else if (at.paused) {
    return;
  } else if (faulty && what < 10) {
    begin(at);
  } else if (what < 90) {
    carry_out(at, faulty);
  } else if (what < 150) {
    receive(at);
  } else if (what < 170) {
    answer(at);
  } else {
    feed(at, at.table.tick(now_));
  }
}

void once_simulation::begin(instance& at) {
  const std::uint64_t id = ++last_call_;
  // Resends of a key come close together.
  const std::string key = "key" + std::to_string(id / 6 + pick(random_, 2));
  const std::string body_hash = pick(random_, 10) == 0 ? "other" : "hash";
  names_[once_key("north", key)] = key;
  at.calls[id] = {key, body_hash};
  const duration limit = milliseconds(200 + pick(random_, 3000));
  feed(at, at.table.begin(now_, wall(at),
                          {id, "north", key, body_hash, now_ + limit, wall(at) + limit,
                           pick(random_, 2) == 0}));
}

void once_simulation::restart(instance& at) {
  counts_.count("instance deaths");
  at.client = ++last_client_;
  at.table = once_table::create("i", std::to_string(at.client));
  at.todo.clear();
  at.calls.clear();
  at.claimed.clear();
  at.answers.clear();
}

void once_simulation::receive(instance& at) {
  testing::store_result result;
  if (!store_.take(at.client, result)) {
    return;
  }
  if (const auto* write = std::get_if<store_write_result>(&result)) {
    feed(at, at.table.finish_write(now_, *write));
  } else {
    feed(at, at.table.finish_read(now_, wall(at), std::get<store_read_result>(result)));
  }
}

void once_simulation::carry_out(instance& at, bool faulty) {
  if (at.todo.empty()) {
    return;
  }
  const once_action it = std::move(at.todo.front());
  at.todo.pop_front();
  if (const auto* put = std::get_if<store_put>(&it)) {
    store_.submit(at.client, *put);
  } else if (const auto* get = std::get_if<store_get>(&it)) {
    store_.submit(at.client, *get);
  } else if (const auto* erase = std::get_if<store_delete>(&it)) {
    store_.submit(at.client, *erase);
  } else if (const auto* claimed = std::get_if<request_claimed>(&it)) {
    const std::uint64_t choice = pick(random_, 5);
    if (choice == 0) {
      counts_.count("releases before sending");
      feed(at, at.table.release(now_, claimed->id));
    } else if (choice < 4) {
      feed(at, at.table.mark_sent(now_, claimed->id));
    }
  } else if (const auto* sent = std::get_if<send_request>(&it)) {
    send(at, sent->id, faulty);
  } else if (const auto* reply = std::get_if<once_reply>(&it)) {
    call& of = at.calls.at(reply->id);
    of.answered = true;
    checker_.replied(at.client, of.key, of.body_hash, reply->id, reply->status, reply->answer);
  }
}

void once_simulation::send(instance& at, std::uint64_t id, bool faulty) {
  const call& of = at.calls.at(id);
  const std::uint64_t fault = faulty ? pick(random_, 6) : 6;
  if (fault == 0) {
    counts_.count("connections refused");
    feed(at, at.table.release(now_, id));
    return;
  }
  if (fault == 1) {
    counts_.count("requests lost under way");
    feed(at, at.table.lose(now_, id));
    return;
  }
  const stored_answer answer = checker_.executed(of.key, of.body_hash, id);
  if (fault == 2) {
    counts_.count("answers of endpoints lost");
    feed(at, at.table.lose(now_, id));
  } else {
    at.answers.emplace_back(id, answer);
  }
}

void once_simulation::answer(instance& at) {
  if (!at.answers.empty()) {
    const auto [id, answer] = at.answers.back();
    at.answers.pop_back();
    feed(at, at.table.finish(now_, id, answer));
  }
}

void once_simulation::run(std::uint64_t steps) {
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

std::size_t once_simulation::unanswered() const {
  std::size_t n = 0;
  for (const instance& it : instances_) {
    n += static_cast<std::size_t>(
        std::ranges::count_if(it.calls, [](const auto& each) { return !each.second.answered; }));
  }
  return n;
}

} // namespace boragedoor::requests
