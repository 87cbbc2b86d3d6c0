#include "control_world.h"

#include <algorithm>

namespace boragedoor::control {

void control_world::execute(const process_ptr& p, const std::vector<lease_action>& actions) {
  for (const lease_action& action : actions) {
    std::visit([&](const auto& it) { perform(p, it); }, action);
  }
}

void control_world::execute(const process_ptr& p, const std::vector<takeover_action>& actions) {
  for (const takeover_action& action : actions) {
    std::visit([&](const auto& it) { perform(p, it); }, action);
  }
}

void control_world::execute(const process_ptr& p, const std::string& shard,
                            const std::vector<order_action>& actions) {
  for (const order_action& action : actions) {
    if (const auto* const order = std::get_if<send_order>(&action)) {
      send(p, shard, *order);
    } else {
      deliver_confirmation(p, std::get<confirm_step_down>(action));
    }
  }
}

void control_world::perform(const process_ptr& p, const grant_store_lease& it) {
  const auto run = [this, p, it] {
    const std::string lease = "lease" + std::to_string(++revision_);
    store_leases_[lease] = now_ + it.ttl;
    return [this, p, it, lease] {
      execute(p, p->lease->on_granted(it.request, lease, local_time(*p)));
    };
  };
  send_store_call(p, run, [this, p, it] {
    execute(p, p->lease->on_granted(it.request, std::nullopt, local_time(*p)));
  });
}

void control_world::perform(const process_ptr& p, const renew_store_lease& it) {
  const auto answer = [this, p, it](store_outcome outcome) {
    return [this, p, it, outcome] {
      execute(p, p->lease->on_renewed(it.request, outcome, local_time(*p)));
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
  send_store_call(p, run, answer(store_outcome::unknown));
}

void control_world::perform(const process_ptr& p, const revoke_store_lease& it) {
  const auto run = [this, it] {
    store_leases_.erase(it.lease);
    expire_leases();
    return [] {};
  };
  send_store_call(p, run, [] {});
}

void control_world::perform(const process_ptr& p, const create_lease_key& it) {
  const auto answer = [this, p, it](store_outcome outcome, fencing_token version) {
    return [this, p, it, outcome, version] {
      execute(p, p->lease->on_created(it.request, outcome, version, local_time(*p)));
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
  send_store_call(p, run, answer(store_outcome::unknown, 0));
}

void control_world::perform(const process_ptr& p, const read_lease_key& it) {
  const auto answer = [this, p, it](const lease_read& read) {
    return [this, p, it, read] { execute(p, p->lease->on_read(it.request, read, local_time(*p))); };
  };
  const auto run = [this, it, answer] {
    const auto key = lease_keys_.find(it.shard);
    return answer({true, key == lease_keys_.end() ? std::nullopt : std::optional(key->second)});
  };
  send_store_call(p, run, answer({}));
}

void control_world::perform(const process_ptr& p, const delete_lease_key& it) {
  const auto answer = [this, p, it](store_outcome outcome) {
    return [this, p, it, outcome] {
      execute(p, p->lease->on_deleted(it.request, outcome, local_time(*p)));
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
  send_store_call(p, run, answer(store_outcome::unknown));
}

void control_world::perform(const process_ptr& p, const shard_acquired& it) {
  task& state = p->tasks[it.shard];
  takeover_options options;
  options.shard = it.shard;
  options.self = {p->instance, p->boot_id, p->instance, it.token};
  state.active_takeover.emplace(options);
  state.is_stopping = false;
  state.gate->resume();
  p->naive.on_acquired(it.shard, it.token);
}

void control_world::perform(const process_ptr& p, const shard_stopping& it) {
  p->tasks[it.shard].is_stopping = true;
  p->tasks[it.shard].gate->stop();
}

void control_world::perform(const process_ptr& p, const shard_lost& it) {
  p->tasks[it.shard].active_takeover.reset();
  // The naive holder is told by the answer to a renewal, one round trip later.
  run_on_process(p, milliseconds(10), [p, it] { p->naive.on_loss_reported(it.shard); });
}

void control_world::perform(const process_ptr& /*p*/, const shard_released& /*it*/) {}

void control_world::perform(const process_ptr& p, const read_holders& it) {
  // The takeover that sent the call may have been replaced when the answer arrives. Takeovers are
  // distinguished by their tokens.
  const auto token = p->lease->permit(it.shard).value_or(lease_permit{}).token;
  const auto answer = [this, p, it, token](const std::optional<stored_holders>& value) {
    return [this, p, it, token, value] {
      task& state = p->tasks[it.shard];
      if (state.active_takeover &&
          p->lease->permit(it.shard).value_or(lease_permit{}).token == token) {
        execute(p, state.active_takeover->on_read(value ? std::optional(value->list) : std::nullopt,
                                                  value ? value->version : 0, local_time(*p)));
      }
    };
  };
  send_store_call(
      p, [this, it, answer] { return answer(holders_[it.shard]); }, answer(std::nullopt));
}

void control_world::perform(const process_ptr& p, const write_holders& it) {
  const auto token = p->lease->permit(it.shard).value_or(lease_permit{}).token;
  const auto answer = [this, p, it, token](store_outcome outcome, std::uint64_t version) {
    return [this, p, it, token, outcome, version] {
      task& state = p->tasks[it.shard];
      if (state.active_takeover &&
          p->lease->permit(it.shard).value_or(lease_permit{}).token == token) {
        execute(p, state.active_takeover->on_written(outcome, version, local_time(*p)));
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
  send_store_call(p, run, answer(store_outcome::unknown, 0));
}

void control_world::deliver_reply(const process_ptr& p, const std::string& shard,
                                  const former_holder& asked, step_down_reply reply,
                                  const std::string& boot_id) {
  if (is_active(fault_kind::lose_messages) && with_probability(0.3)) {
    return;
  }
  run_on_process(
      p, random(milliseconds(1), milliseconds(50)), [this, p, shard, asked, reply, boot_id] {
        if (auto& active_takeover = p->tasks[shard].active_takeover) {
          execute(p, active_takeover->on_step_down_reply(asked, reply, boot_id, local_time(*p)));
        }
      });
}

void control_world::perform(const process_ptr& p, const request_step_down& it) {
  schedule(random(milliseconds(1), milliseconds(50)), [this, p, it] {
    const auto found = std::ranges::find_if(processes_, [&](const process_ptr& other) {
      return other->is_alive && other->instance == it.holder.address;
    });
    if (found == processes_.end()) {
      deliver_reply(p, it.shard, it.holder, step_down_reply::refused, "");
      return;
    }
    run_on_process(*found, duration(0), [this, p, it, other = *found] {
      if (other->boot_id != it.holder.boot_id) {
        deliver_reply(p, it.shard, it.holder, step_down_reply::busy, other->boot_id);
        return;
      }
      auto& gate = *other->tasks[it.shard].gate;
      execute(other, it.shard, gate.on_step_down(p->boot_id, it.token, local_time(*other)));
    });
  });
}

void control_world::deliver_confirmation(const process_ptr& p, const confirm_step_down& it) {
  for (const process_ptr& requester : processes_) {
    if (requester->boot_id != it.requester || !requester->tasks[it.shard].active_takeover) {
      continue;
    }
    for (const order& open : it.open_orders) {
      requester->tasks[it.shard].gate->restore(open, false);
    }
    for (const former_holder& asked :
         requester->tasks[it.shard].active_takeover->unconfirmed_holders()) {
      if (asked.boot_id == p->boot_id && asked.token < it.token) {
        deliver_reply(requester, it.shard, asked, step_down_reply::stepped_down, p->boot_id);
      }
    }
  }
}

void control_world::perform(const process_ptr& /*p*/, const takeover_cleared& /*it*/) {
  ++report_.takeovers;
}

void control_world::perform(const process_ptr& p, const holder_removed& it) {
  execute(p, p->lease->on_settled(it.shard, local_time(*p)));
}

} // namespace boragedoor::control
