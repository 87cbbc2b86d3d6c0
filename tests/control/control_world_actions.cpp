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

void control_world::perform(const process_ptr& p, const grant_store_lease& action) {
  const auto run = [this, p, action] {
    const std::string lease = "lease" + std::to_string(++revision_);
    store_leases_[lease] = now_ + action.ttl;
    return [this, p, action, lease] {
      execute(p, p->lease->on_granted(action.request, lease, local_time(*p)));
    };
  };
  send_store_call(p, run, [this, p, action] {
    execute(p, p->lease->on_granted(action.request, std::nullopt, local_time(*p)));
  });
}

void control_world::perform(const process_ptr& p, const renew_store_lease& action) {
  const auto answer = [this, p, action](store_outcome outcome) {
    return [this, p, action, outcome] {
      execute(p, p->lease->on_renewed(action.request, outcome, local_time(*p)));
    };
  };
  const auto run = [this, action, answer] {
    const auto lease = store_leases_.find(action.lease);
    if (lease == store_leases_.end()) {
      return answer(store_outcome::lease_missing);
    }
    lease->second = now_ + lease_holder_options{}.ttl;
    return answer(store_outcome::ok);
  };
  send_store_call(p, run, answer(store_outcome::unknown));
}

void control_world::perform(const process_ptr& p, const revoke_store_lease& action) {
  const auto run = [this, action] {
    store_leases_.erase(action.lease);
    expire_leases();
    return [] {};
  };
  send_store_call(p, run, [] {});
}

void control_world::perform(const process_ptr& p, const create_lease_key& action) {
  const auto answer = [this, p, action](store_outcome outcome, fencing_token version) {
    return [this, p, action, outcome, version] {
      execute(p, p->lease->on_created(action.request, outcome, version, local_time(*p)));
    };
  };
  const auto run = [this, action, answer] {
    if (!store_leases_.contains(action.record.acquired_by)) {
      return answer(store_outcome::lease_missing, 0);
    }
    if (lease_keys_.contains(action.shard)) {
      return answer(store_outcome::conflict, 0);
    }
    lease_keys_[action.shard] = {action.record, ++revision_};
    return answer(store_outcome::ok, revision_);
  };
  send_store_call(p, run, answer(store_outcome::unknown, 0));
}

void control_world::perform(const process_ptr& p, const read_lease_key& action) {
  const auto answer = [this, p, action](const lease_read& read) {
    return [this, p, action, read] {
      execute(p, p->lease->on_read(action.request, read, local_time(*p)));
    };
  };
  const auto run = [this, action, answer] {
    const auto key = lease_keys_.find(action.shard);
    return answer({true, key == lease_keys_.end() ? std::nullopt : std::optional(key->second)});
  };
  send_store_call(p, run, answer({}));
}

void control_world::perform(const process_ptr& p, const delete_lease_key& action) {
  const auto answer = [this, p, action](store_outcome outcome) {
    return [this, p, action, outcome] {
      execute(p, p->lease->on_deleted(action.request, outcome, local_time(*p)));
    };
  };
  const auto run = [this, action, answer] {
    const auto key = lease_keys_.find(action.shard);
    if (key == lease_keys_.end() || key->second.version != action.expect_version) {
      return answer(store_outcome::conflict);
    }
    lease_keys_.erase(key);
    return answer(store_outcome::ok);
  };
  send_store_call(p, run, answer(store_outcome::unknown));
}

void control_world::perform(const process_ptr& p, const shard_acquired& action) {
  task& state = p->tasks[action.shard];
  takeover_options options;
  options.shard = action.shard;
  options.self = {p->instance, p->boot_id, p->instance, action.token};
  state.active_takeover.emplace(options);
  state.is_stopping = false;
  state.gate->resume();
  p->naive.on_acquired(action.shard, action.token);
}

void control_world::perform(const process_ptr& p, const shard_stopping& action) {
  p->tasks[action.shard].is_stopping = true;
  p->tasks[action.shard].gate->stop();
}

void control_world::perform(const process_ptr& p, const shard_lost& action) {
  p->tasks[action.shard].active_takeover.reset();
  // The naive holder is told by the answer to a renewal, one round trip later.
  run_on_process(p, milliseconds(10), [p, action] { p->naive.on_loss_reported(action.shard); });
}

void control_world::perform(const process_ptr& /*p*/, const shard_released& /*it*/) {}

void control_world::perform(const process_ptr& p, const read_holders& action) {
  // The takeover that sent the call may have been replaced when the answer arrives. Takeovers are
  // distinguished by their tokens.
  const auto token = p->lease->permit(action.shard).value_or(lease_permit{}).token;
  const auto answer = [this, p, action, token](const std::optional<stored_holders>& value) {
    return [this, p, action, token, value] {
      task& state = p->tasks[action.shard];
      if (state.active_takeover &&
          p->lease->permit(action.shard).value_or(lease_permit{}).token == token) {
        execute(p, state.active_takeover->on_read(value ? std::optional(value->list) : std::nullopt,
                                                  value ? value->version : 0, local_time(*p)));
      }
    };
  };
  send_store_call(
      p, [this, action, answer] { return answer(holders_[action.shard]); }, answer(std::nullopt));
}

void control_world::perform(const process_ptr& p, const write_holders& action) {
  const auto token = p->lease->permit(action.shard).value_or(lease_permit{}).token;
  const auto answer = [this, p, action, token](store_outcome outcome, std::uint64_t version) {
    return [this, p, action, token, outcome, version] {
      task& state = p->tasks[action.shard];
      if (state.active_takeover &&
          p->lease->permit(action.shard).value_or(lease_permit{}).token == token) {
        execute(p, state.active_takeover->on_written(outcome, version, local_time(*p)));
      }
    };
  };
  const auto run = [this, action, answer] {
    stored_holders& key = holders_[action.shard];
    if (key.version != action.expect_version) {
      return answer(store_outcome::conflict, 0);
    }
    key = {action.holders, ++revision_};
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

void control_world::perform(const process_ptr& p, const request_step_down& action) {
  schedule(random(milliseconds(1), milliseconds(50)), [this, p, action] {
    const auto found = std::ranges::find_if(processes_, [&](const process_ptr& other) {
      return other->is_alive && other->instance == action.holder.address;
    });
    if (found == processes_.end()) {
      deliver_reply(p, action.shard, action.holder, step_down_reply::refused, "");
      return;
    }
    run_on_process(*found, duration(0), [this, p, action, other = *found] {
      if (other->boot_id != action.holder.boot_id) {
        deliver_reply(p, action.shard, action.holder, step_down_reply::busy, other->boot_id);
        return;
      }
      auto& gate = *other->tasks[action.shard].gate;
      execute(other, action.shard, gate.on_step_down(p->boot_id, action.token, local_time(*other)));
    });
  });
}

void control_world::deliver_confirmation(const process_ptr& p,
                                         const confirm_step_down& confirmation) {
  for (const process_ptr& requester : processes_) {
    if (requester->boot_id != confirmation.requester ||
        !requester->tasks[confirmation.shard].active_takeover) {
      continue;
    }
    for (const order& open : confirmation.open_orders) {
      requester->tasks[confirmation.shard].gate->restore(open, false);
    }
    for (const former_holder& asked :
         requester->tasks[confirmation.shard].active_takeover->unconfirmed_holders()) {
      if (asked.boot_id == p->boot_id && asked.token < confirmation.token) {
        deliver_reply(requester, confirmation.shard, asked, step_down_reply::stepped_down,
                      p->boot_id);
      }
    }
  }
}

void control_world::perform(const process_ptr& /*p*/, const takeover_cleared& /*it*/) {
  ++report_.takeovers;
}

void control_world::perform(const process_ptr& p, const holder_removed& action) {
  execute(p, p->lease->on_settled(action.shard, local_time(*p)));
}

} // namespace boragedoor::control
