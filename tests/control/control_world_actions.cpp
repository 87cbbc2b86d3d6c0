#include "control_world.h"

#include <algorithm>

namespace boragedoor::control {

void control_world::carry_out(const process_ptr& p, const std::vector<lease_action>& actions) {
  for (const lease_action& action : actions) {
    std::visit([&](const auto& it) { perform(p, it); }, action);
  }
}

void control_world::carry_out(const process_ptr& p, const std::vector<takeover_action>& actions) {
  for (const takeover_action& action : actions) {
    std::visit([&](const auto& it) { perform(p, it); }, action);
  }
}

void control_world::carry_out(const process_ptr& p, const std::string& shard,
                              const std::vector<order_action>& actions) {
  for (const order_action& action : actions) {
    if (const auto* const order = std::get_if<send_order>(&action)) {
      send(p, shard, *order);
    } else {
      step_down_answered(p, std::get<answer_stepped_down>(action));
    }
  }
}

void control_world::perform(const process_ptr& p, const grant_store_lease& it) {
  const auto run = [this, p, it] {
    const std::string lease = "lease" + std::to_string(++revision_);
    store_leases_[lease] = now_ + it.ttl;
    return
        [this, p, it, lease] { carry_out(p, p->lease->on_granted(it.request, lease, local(*p))); };
  };
  call_store(p, run, [this, p, it] {
    carry_out(p, p->lease->on_granted(it.request, std::nullopt, local(*p)));
  });
}

void control_world::perform(const process_ptr& p, const renew_store_lease& it) {
  const auto answer = [this, p, it](store_outcome outcome) {
    return [this, p, it, outcome] {
      carry_out(p, p->lease->on_renewed(it.request, outcome, local(*p)));
    };
  };
  const auto run = [this, it, answer] {
    const auto lease = store_leases_.find(it.lease);
    if (lease == store_leases_.end()) {
      return answer(store_outcome::lease_missing);
    }
    lease->second = now_ + lease_holder_options{}.ttl;
    return answer(store_outcome::ok);
  };
  call_store(p, run, answer(store_outcome::unknown));
}

void control_world::perform(const process_ptr& p, const revoke_store_lease& it) {
  const auto run = [this, it] {
    store_leases_.erase(it.lease);
    expire_leases();
    return [] {};
  };
  call_store(p, run, [] {});
}

void control_world::perform(const process_ptr& p, const create_lease_key& it) {
  const auto answer = [this, p, it](store_outcome outcome, fencing_token version) {
    return [this, p, it, outcome, version] {
      carry_out(p, p->lease->on_created(it.request, outcome, version, local(*p)));
    };
  };
  const auto run = [this, it, answer] {
    if (!store_leases_.contains(it.record.acquired_by)) {
      return answer(store_outcome::lease_missing, 0);
    }
    if (lease_keys_.contains(it.shard)) {
      return answer(store_outcome::conflict, 0);
    }
    lease_keys_[it.shard] = {it.record, ++revision_};
    return answer(store_outcome::ok, revision_);
  };
  call_store(p, run, answer(store_outcome::unknown, 0));
}

void control_world::perform(const process_ptr& p, const read_lease_key& it) {
  const auto answer = [this, p, it](const lease_read& read) {
    return [this, p, it, read] { carry_out(p, p->lease->on_read(it.request, read, local(*p))); };
  };
  const auto run = [this, it, answer] {
    const auto key = lease_keys_.find(it.shard);
    return answer({true, key == lease_keys_.end() ? std::nullopt : std::optional(key->second)});
  };
  call_store(p, run, answer({}));
}

void control_world::perform(const process_ptr& p, const delete_lease_key& it) {
  const auto answer = [this, p, it](store_outcome outcome) {
    return [this, p, it, outcome] {
      carry_out(p, p->lease->on_deleted(it.request, outcome, local(*p)));
    };
  };
  const auto run = [this, it, answer] {
    const auto key = lease_keys_.find(it.shard);
    if (key == lease_keys_.end() || key->second.version != it.expect_version) {
      return answer(store_outcome::conflict);
    }
    lease_keys_.erase(key);
    return answer(store_outcome::ok);
  };
  call_store(p, run, answer(store_outcome::unknown));
}

void control_world::perform(const process_ptr& p, const shard_acquired& it) {
  task& state = p->tasks[it.shard];
  takeover_options options;
  options.shard = it.shard;
  options.self = {p->instance, p->boot, p->instance, it.token};
  state.clearing.emplace(options);
  state.is_stopping = false;
  state.gate->resume();
  p->naive.on_acquired(it.shard, it.token);
}

void control_world::perform(const process_ptr& p, const shard_stopping& it) {
  p->tasks[it.shard].is_stopping = true;
  p->tasks[it.shard].gate->stop();
}

void control_world::perform(const process_ptr& p, const shard_lost& it) {
  p->tasks[it.shard].clearing.reset();
  // The naive holder learns it from the answer to a renewal, a round trip later.
  deliver(p, milliseconds(10), [p, it] { p->naive.on_told_lost(it.shard); });
}

void control_world::perform(const process_ptr& /*p*/, const shard_released& /*it*/) {}

void control_world::perform(const process_ptr& p, const read_holders& it) {
  // The takeover that asked may be gone when the answer comes; only its token tells them apart.
  const auto token = p->lease->permit(it.shard).value_or(lease_permit{}).token;
  const auto answer = [this, p, it, token](const std::optional<stored_holders>& value) {
    return [this, p, it, token, value] {
      task& state = p->tasks[it.shard];
      if (state.clearing && p->lease->permit(it.shard).value_or(lease_permit{}).token == token) {
        carry_out(p, state.clearing->on_read(value ? std::optional(value->list) : std::nullopt,
                                             value ? value->version : 0, local(*p)));
      }
    };
  };
  call_store(
      p, [this, it, answer] { return answer(holders_[it.shard]); }, answer(std::nullopt));
}

void control_world::perform(const process_ptr& p, const write_holders& it) {
  const auto token = p->lease->permit(it.shard).value_or(lease_permit{}).token;
  const auto answer = [this, p, it, token](store_outcome outcome, std::uint64_t version) {
    return [this, p, it, token, outcome, version] {
      task& state = p->tasks[it.shard];
      if (state.clearing && p->lease->permit(it.shard).value_or(lease_permit{}).token == token) {
        carry_out(p, state.clearing->on_written(outcome, version, local(*p)));
      }
    };
  };
  const auto run = [this, it, answer] {
    stored_holders& key = holders_[it.shard];
    if (key.version != it.expect_version) {
      return answer(store_outcome::conflict, 0);
    }
    key = {it.holders, ++revision_};
    return answer(store_outcome::ok, revision_);
  };
  call_store(p, run, answer(store_outcome::unknown, 0));
}

void control_world::answer(const process_ptr& p, const std::string& shard,
                           const former_holder& asked, step_down_reply reply,
                           const std::string& boot) {
  if (is_active(fault_kind::lose_messages) && flip(0.3)) {
    return;
  }
  deliver(p, random(milliseconds(1), milliseconds(50)), [this, p, shard, asked, reply, boot] {
    if (auto& clearing = p->tasks[shard].clearing) {
      carry_out(p, clearing->on_answer(asked, reply, boot, local(*p)));
    }
  });
}

void control_world::perform(const process_ptr& p, const ask_step_down& it) {
  at(random(milliseconds(1), milliseconds(50)), [this, p, it] {
    const auto found = std::ranges::find_if(processes_, [&](const process_ptr& other) {
      return other->is_alive && other->instance == it.holder.address;
    });
    if (found == processes_.end()) {
      answer(p, it.shard, it.holder, step_down_reply::refused, "");
      return;
    }
    deliver(*found, duration(0), [this, p, it, other = *found] {
      if (other->boot != it.holder.boot_id) {
        answer(p, it.shard, it.holder, step_down_reply::busy, other->boot);
        return;
      }
      auto& gate = *other->tasks[it.shard].gate;
      carry_out(other, it.shard, gate.on_step_down(p->boot, it.token, local(*other)));
    });
  });
}

void control_world::step_down_answered(const process_ptr& p, const answer_stepped_down& it) {
  for (const process_ptr& asker : processes_) {
    if (asker->boot != it.asker || !asker->tasks[it.shard].clearing) {
      continue;
    }
    for (const order& open : it.open) {
      asker->tasks[it.shard].gate->restore(open, false);
    }
    for (const former_holder& asked : asker->tasks[it.shard].clearing->waiting_for()) {
      if (asked.boot_id == p->boot && asked.token < it.token) {
        answer(asker, it.shard, asked, step_down_reply::stepped_down, p->boot);
      }
    }
  }
}

void control_world::perform(const process_ptr& /*p*/, const takeover_cleared& /*it*/) {
  ++report_.takeovers;
}

void control_world::perform(const process_ptr& p, const holder_removed& it) {
  carry_out(p, p->lease->on_settled(it.shard, local(*p)));
}

} // namespace boragedoor::control
