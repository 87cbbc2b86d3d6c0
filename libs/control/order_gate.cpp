#include "control/order_gate.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "base/hash.h"

namespace boragedoor::control {

namespace {

std::string to_hex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return {digits.data(), end.ptr};
}

} // namespace

std::string order_id(std::string_view shard, std::string_view target, std::string_view desired,
                     std::uint64_t sequence) {
  const std::uint64_t content = hash64(desired, hash64(target));
  return std::string(shard) + '/' + to_hex(content) + '/' + std::to_string(sequence);
}

bool order_gate::may_send(token_handling handling, const order_permit& permit,
                          time_point now) const {
  return permit.lease && permit.lease->is_valid(now) && permit.lease->token >= fence_ &&
         (handling == token_handling::checks || permit.takeover_cleared);
}

void order_gate::restore(const order& last, bool is_settled) {
  target_state& it = targets_[last.target];
  if (last.sequence < it.last_sequence) {
    return;
  }
  if (last.sequence == it.last_sequence) {
    if (is_settled && it.open && it.open->id == last.id) {
      it.settled = last.desired;
      it.open.reset();
    }
    return;
  }
  it.last_sequence = last.sequence;
  it.handling = last.handling;
  it.open.reset();
  it.settled.reset();
  if (is_settled) {
    it.settled = last.desired;
  } else {
    it.open = last;
    it.next_attempt = time_point{};
  }
}

std::vector<order_action> order_gate::request(std::string_view target, token_handling handling,
                                              std::string_view desired, const order_permit& permit,
                                              time_point now) {
  actions out;
  auto& [name, it] = *targets_.try_emplace(std::string(target)).first;
  it.handling = handling;
  it.wanted = desired;
  advance(name, it, permit, now, out);
  return out;
}

std::vector<order_action> order_gate::tick(const order_permit& permit, time_point now) {
  actions out;
  for (auto& [name, it] : targets_) {
    advance(name, it, permit, now, out);
  }
  return out;
}

void order_gate::advance(const std::string& target, target_state& it, const order_permit& permit,
                         time_point now, actions& out) {
  if (!may_send(it.open ? it.open->handling : it.handling, permit, now)) {
    return;
  }
  if (!it.open && !stopping_ && now >= it.quiet_from && it.wanted && it.wanted != it.settled) {
    start(target, it);
  }
  if (it.open && !in_flight_.contains(it.open->id) && now >= it.next_attempt) {
    in_flight_.insert(it.open->id);
    out.emplace_back(send_order{*it.open, permit.lease->token, permit.lease->valid_until});
  }
}

void order_gate::start(const std::string& target, target_state& it) const {
  // The id is fixed only now, so that a state which was never sent can still be replaced.
  const std::uint64_t sequence = ++it.last_sequence;
  it.open = order{order_id(options_.shard, target, *it.wanted, sequence), target, it.handling,
                  *it.wanted, sequence};
  it.next_attempt = time_point{};
}

std::vector<order_action> order_gate::on_settled(std::string_view id, const order_permit& permit,
                                                 time_point now) {
  actions out;
  if (const auto sent = in_flight_.find(id); sent != in_flight_.end()) {
    in_flight_.erase(sent);
  }
  for (auto& [name, it] : targets_) {
    if (it.open && it.open->id == id) {
      it.settled = it.open->desired;
      it.open.reset();
      advance(name, it, permit, now, out);
      break;
    }
  }
  answer_askers(out);
  return out;
}

std::vector<order_action> order_gate::on_attempt_failed(std::string_view id, time_point now) {
  actions out;
  if (const auto sent = in_flight_.find(id); sent != in_flight_.end()) {
    in_flight_.erase(sent);
  }
  quiet_from_ = std::max(quiet_from_, now + options_.in_flight);
  for (auto& [name, it] : targets_) {
    if (it.open && it.open->id == id) {
      it.next_attempt = now + options_.retry_interval;
      it.quiet_from = now + options_.in_flight;
    }
  }
  answer_askers(out);
  return out;
}

std::vector<order_action> order_gate::on_step_down(std::string_view asker, fencing_token token,
                                                   time_point /*now*/) {
  actions out;
  fence_ = std::max(fence_, token);
  std::erase_if(askers_, [&](const pending_answer& it) { return it.asker == asker; });
  askers_.push_back({std::string(asker), token});
  answer_askers(out);
  return out;
}

void order_gate::answer_askers(actions& out) {
  // An attempt whose bytes may still be on their way must end before the promise is given.
  if (!in_flight_.empty()) {
    return;
  }
  for (const pending_answer& it : askers_) {
    out.emplace_back(
        answer_stepped_down{options_.shard, it.asker, it.token, options_.boot_id, open_orders()});
  }
  askers_.clear();
}

void order_gate::resume() {
  stopping_ = false;
  for (auto& [name, it] : targets_) {
    it.wanted.reset();
    it.settled.reset();
  }
}

void order_gate::forget_settled(std::string_view target) {
  if (const auto it = targets_.find(target); it != targets_.end()) {
    it->second.settled.reset();
  }
}

bool order_gate::is_settled(time_point now) const {
  return in_flight_.empty() && now >= quiet_from_ &&
         std::ranges::none_of(targets_, [](const auto& it) { return it.second.open.has_value(); });
}

std::vector<order> order_gate::open_orders() const {
  std::vector<order> list;
  for (const auto& [name, it] : targets_) {
    if (it.open) {
      list.push_back(*it.open);
    }
  }
  return list;
}

} // namespace boragedoor::control
