#include "control/takeover.h"

#include <algorithm>

namespace boragedoor::control {

std::vector<takeover_action> takeover::tick(time_point now) {
  actions out;
  sync(now, out);
  ask(now, out);
  report(now, out);
  return out;
}

void takeover::report(time_point now, actions& out) {
  if (reported_) {
    return;
  }
  if (leaving_) {
    // Only the stored value counts: a removal of unknown outcome is read back first.
    if (stored_ && !is_listed()) {
      reported_ = true;
      out.emplace_back(holder_removed{options_.shard});
    }
  } else if (is_cleared(now)) {
    reported_ = true;
    out.emplace_back(takeover_cleared{options_.shard});
  }
}

void takeover::sync(time_point now, actions& out) {
  if (outstanding_ != call::none || now < next_call_) {
    return;
  }
  if (!stored_) {
    outstanding_ = call::read;
    out.emplace_back(read_holders{options_.shard});
    return;
  }
  if (auto list = desired(now); list != *stored_) {
    outstanding_ = call::write;
    writing_ = std::move(list);
    out.emplace_back(write_holders{options_.shard, writing_, version_});
  }
}

std::vector<former_holder> takeover::desired(time_point now) const {
  if (is_superseded()) {
    return *stored_;
  }
  std::vector<former_holder> list;
  for (const former_holder& it : *stored_) {
    const auto found = std::ranges::find(suspects_, it, &suspect::holder);
    if (it.boot_id != options_.self.boot_id &&
        (found == suspects_.end() || !has_stopped(*found, now))) {
      list.push_back(it);
    }
  }
  if (!leaving_) {
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
  outstanding_ = call::none;
  stored_ = std::move(holders);
  version_ = version;
  if (!stored_) {
    next_call_ = now + options_.store_retry;
  }
  registered_ = registered_ || is_listed();
  add_suspects();
  return tick(now);
}

std::vector<takeover_action> takeover::on_written(store_outcome outcome, std::uint64_t version,
                                                  time_point now) {
  outstanding_ = call::none;
  if (outcome == store_outcome::ok) {
    stored_ = writing_;
    version_ = version;
  } else {
    stored_.reset();
    next_call_ = outcome == store_outcome::unknown ? now + options_.store_retry : now;
  }
  registered_ = registered_ || is_listed();
  return tick(now);
}

void takeover::add_suspects() {
  if (!stored_) {
    return;
  }
  for (const former_holder& it : *stored_) {
    const bool is_known = std::ranges::find(suspects_, it, &suspect::holder) != suspects_.end();
    // This process's own earlier orders are settled by its order gate.
    if (it.boot_id != options_.self.boot_id && !is_known) {
      suspects_.push_back({it, std::nullopt, std::nullopt, time_point{}});
    }
  }
}

void takeover::ask(time_point now, actions& out) {
  if (leaving_) {
    return;
  }
  for (suspect& it : suspects_) {
    if (!it.evidence && now >= it.next_ask) {
      it.next_ask = now + options_.ask_interval;
      out.emplace_back(ask_step_down{options_.shard, it.holder, options_.self.token});
    }
  }
}

std::vector<takeover_action> takeover::on_answer(const former_holder& asked, step_down_reply reply,
                                                 std::string_view boot_id, time_point now) {
  const bool is_other_boot =
      (reply == step_down_reply::stepped_down || reply == step_down_reply::busy) &&
      !boot_id.empty() && boot_id != asked.boot_id;
  const bool is_evidence = reply == step_down_reply::refused || is_other_boot ||
                           (reply == step_down_reply::stepped_down && boot_id == asked.boot_id);
  const auto it = std::ranges::find(suspects_, asked, &suspect::holder);
  if (is_evidence && it != suspects_.end() && !it->evidence) {
    it->evidence = now;
  }
  return tick(now);
}

std::vector<takeover_action> takeover::on_list(std::span<const member> members, time_point now) {
  for (suspect& it : suspects_) {
    if (std::ranges::find(members, it.holder.instance, &member::id) != members.end()) {
      it.absent_since.reset();
    } else if (!it.absent_since) {
      it.absent_since = now;
    } else if (!it.evidence && now - *it.absent_since > options_.list_lag) {
      it.evidence = now;
    }
  }
  return tick(now);
}

std::vector<takeover_action> takeover::leave(time_point now) {
  if (!leaving_) {
    leaving_ = true;
    reported_ = false;
  }
  return tick(now);
}

bool takeover::has_stopped(const suspect& it, time_point now) const {
  return it.evidence && now >= *it.evidence + options_.in_flight;
}

bool takeover::is_cleared(time_point now) const {
  return registered_ && !leaving_ && !is_superseded() &&
         std::ranges::all_of(suspects_, [&](const suspect& it) { return has_stopped(it, now); });
}

std::vector<former_holder> takeover::waiting_for() const {
  std::vector<former_holder> list;
  for (const suspect& it : suspects_) {
    if (!it.evidence) {
      list.push_back(it.holder);
    }
  }
  return list;
}

} // namespace boragedoor::control
