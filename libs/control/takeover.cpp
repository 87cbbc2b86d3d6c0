#include "control/takeover.h"

#include <algorithm>

namespace boragedoor::control {

std::vector<takeover_action> takeover::tick(time_point now) {
  actions out;
  sync_holders_key(now, out);
  send_step_down_requests(now, out);
  report_completion(now, out);
  return out;
}

void takeover::report_completion(time_point now, actions& out) {
  if (reported_) {
    return;
  }
  if (deregistering_) {
    // Relies only on the stored value: a removal of unknown outcome is read back first.
    if (stored_ && !is_listed()) {
      reported_ = true;
      out.emplace_back(holder_removed{options_.shard});
    }
  } else if (is_cleared(now)) {
    reported_ = true;
    out.emplace_back(takeover_cleared{options_.shard});
  }
}

void takeover::sync_holders_key(time_point now, actions& out) {
  if (outstanding_call_ != store_call::none || now < next_call_) {
    return;
  }
  if (!stored_) {
    outstanding_call_ = store_call::read;
    out.emplace_back(read_holders{options_.shard});
    return;
  }
  if (auto list = desired_holders(now); list != *stored_) {
    outstanding_call_ = store_call::write;
    pending_write_ = std::move(list);
    out.emplace_back(write_holders{options_.shard, pending_write_, version_});
  }
}

std::vector<former_holder> takeover::desired_holders(time_point now) const {
  if (is_superseded()) {
    return *stored_;
  }
  std::vector<former_holder> list;
  for (const former_holder& it : *stored_) {
    const auto found = std::ranges::find(former_holders_, it, &former_holder_state::holder);
    if (it.boot_id != options_.self.boot_id &&
        (found == former_holders_.end() || !has_stopped(*found, now))) {
      list.push_back(it);
    }
  }
  if (!deregistering_) {
    list.push_back(options_.self);
  }
  return list;
}

bool takeover::is_superseded() const {
  return stored_ && std::ranges::any_of(*stored_, [&](const former_holder& it) {
           return it.token > options_.self.token;
         });
}

bool takeover::is_listed() const {
  return stored_ && std::ranges::find(*stored_, options_.self) != stored_->end();
}

std::vector<takeover_action> takeover::on_read(std::optional<std::vector<former_holder>> holders,
                                               std::uint64_t version, time_point now) {
  outstanding_call_ = store_call::none;
  stored_ = std::move(holders);
  version_ = version;
  if (!stored_) {
    next_call_ = now + options_.store_retry_delay;
  }
  registered_ = registered_ || is_listed();
  track_former_holders();
  return tick(now);
}

std::vector<takeover_action> takeover::on_written(store_outcome outcome, std::uint64_t version,
                                                  time_point now) {
  outstanding_call_ = store_call::none;
  if (outcome == store_outcome::ok) {
    stored_ = pending_write_;
    version_ = version;
  } else {
    stored_.reset();
    next_call_ = outcome == store_outcome::unknown ? now + options_.store_retry_delay : now;
  }
  registered_ = registered_ || is_listed();
  return tick(now);
}

void takeover::track_former_holders() {
  if (!stored_) {
    return;
  }
  for (const former_holder& it : *stored_) {
    const bool is_known = std::ranges::find(former_holders_, it, &former_holder_state::holder) !=
                          former_holders_.end();
    // This process's own earlier orders are handled by its order gate.
    if (it.boot_id != options_.self.boot_id && !is_known) {
      former_holders_.push_back({it, std::nullopt, std::nullopt, time_point{}});
    }
  }
}

void takeover::send_step_down_requests(time_point now, actions& out) {
  if (deregistering_) {
    return;
  }
  for (former_holder_state& it : former_holders_) {
    if (!it.evidence && now >= it.next_request) {
      it.next_request = now + options_.step_down_retry_interval;
      out.emplace_back(request_step_down{options_.shard, it.holder, options_.self.token});
    }
  }
}

std::vector<takeover_action> takeover::on_step_down_reply(const former_holder& asked,
                                                          step_down_reply reply,
                                                          std::string_view boot_id,
                                                          time_point now) {
  const bool is_other_boot =
      (reply == step_down_reply::stepped_down || reply == step_down_reply::busy) &&
      !boot_id.empty() && boot_id != asked.boot_id;
  const bool is_evidence = reply == step_down_reply::refused || is_other_boot ||
                           (reply == step_down_reply::stepped_down && boot_id == asked.boot_id);
  const auto it = std::ranges::find(former_holders_, asked, &former_holder_state::holder);
  if (is_evidence && it != former_holders_.end() && !it->evidence) {
    it->evidence = now;
  }
  return tick(now);
}

std::vector<takeover_action> takeover::on_instance_list(std::span<const member> members,
                                                        time_point now) {
  for (former_holder_state& it : former_holders_) {
    if (std::ranges::find(members, it.holder.instance, &member::id) != members.end()) {
      it.absent_since.reset();
    } else if (!it.absent_since) {
      it.absent_since = now;
    } else if (!it.evidence && now - *it.absent_since > options_.max_list_lag) {
      it.evidence = now;
    }
  }
  return tick(now);
}

std::vector<takeover_action> takeover::deregister(time_point now) {
  if (!deregistering_) {
    deregistering_ = true;
    reported_ = false;
  }
  return tick(now);
}

bool takeover::has_stopped(const former_holder_state& state, time_point now) const {
  return state.evidence && now >= *state.evidence + options_.max_flight_time;
}

bool takeover::is_cleared(time_point now) const {
  return registered_ && !deregistering_ && !is_superseded() &&
         std::ranges::all_of(former_holders_,
                             [&](const former_holder_state& it) { return has_stopped(it, now); });
}

std::vector<former_holder> takeover::unconfirmed_holders() const {
  std::vector<former_holder> list;
  for (const former_holder_state& it : former_holders_) {
    if (!it.evidence) {
      list.push_back(it.holder);
    }
  }
  return list;
}

} // namespace boragedoor::control
