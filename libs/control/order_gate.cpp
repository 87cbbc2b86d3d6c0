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
  return permit.lease && permit.lease->is_valid(now) && permit.lease->token >= min_token_ &&
         (handling == token_handling::checks || permit.takeover_cleared);
}

void order_gate::restore(const order& last, bool is_settled) {
  target_state& it = targets_[last.target];
  if (last.sequence < it.last_sequence) {
    return;
  }
  if (last.sequence == it.last_sequence) {
    if (is_settled && it.open_order && it.open_order->id == last.id) {
      it.settled_state = last.desired;
      it.open_order.reset();
    }
    return;
  }
  it.last_sequence = last.sequence;
  it.handling = last.handling;
  it.open_order.reset();
  it.settled_state.reset();
  if (is_settled) {
    it.settled_state = last.desired;
  } else {
    it.open_order = last;
    it.next_attempt = time_point{};
  }
}

std::vector<order_action> order_gate::request(std::string_view target, token_handling handling,
                                              std::string_view desired, const order_permit& permit,
                                              time_point now) {
  actions out;
  auto& [name, it] = *targets_.try_emplace(std::string(target)).first;
  it.handling = handling;
  it.desired_state = desired;
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

void order_gate::advance(const std::string& target, target_state& state, const order_permit& permit,
                         time_point now, actions& out) {
  if (!may_send(state.open_order ? state.open_order->handling : state.handling, permit, now)) {
    return;
  }
  if (!state.open_order && !stopping_ && now >= state.in_flight_until && state.desired_state &&
      state.desired_state != state.settled_state) {
    open_next_order(target, state);
  }
  if (state.open_order && !attempts_in_flight_.contains(state.open_order->id) &&
      now >= state.next_attempt) {
    attempts_in_flight_.insert(state.open_order->id);
    out.emplace_back(send_order{*state.open_order, permit.lease->token, permit.lease->valid_until});
  }
}

void order_gate::open_next_order(const std::string& target, target_state& state) const {
  // The id is assigned only now, so that a desired state that was never sent can still be replaced.
  const std::uint64_t sequence = ++state.last_sequence;
  state.open_order = order{order_id(options_.shard, target, *state.desired_state, sequence), target,
                           state.handling, *state.desired_state, sequence};
  state.next_attempt = time_point{};
}

std::vector<order_action> order_gate::on_settled(std::string_view id, const order_permit& permit,
                                                 time_point now) {
  actions out;
  if (const auto sent = attempts_in_flight_.find(id); sent != attempts_in_flight_.end()) {
    attempts_in_flight_.erase(sent);
  }
  for (auto& [name, it] : targets_) {
    if (it.open_order && it.open_order->id == id) {
      it.settled_state = it.open_order->desired;
      it.open_order.reset();
      advance(name, it, permit, now, out);
      break;
    }
  }
  confirm_step_downs(out);
  return out;
}

std::vector<order_action> order_gate::on_attempt_failed(std::string_view id, time_point now) {
  actions out;
  if (const auto sent = attempts_in_flight_.find(id); sent != attempts_in_flight_.end()) {
    attempts_in_flight_.erase(sent);
  }
  in_flight_until_ = std::max(in_flight_until_, now + options_.max_flight_time);
  for (auto& [name, it] : targets_) {
    if (it.open_order && it.open_order->id == id) {
      it.next_attempt = now + options_.retry_interval;
      it.in_flight_until = now + options_.max_flight_time;
    }
  }
  confirm_step_downs(out);
  return out;
}

std::vector<order_action> order_gate::on_step_down(std::string_view requester, fencing_token token,
                                                   time_point /*now*/) {
  actions out;
  min_token_ = std::max(min_token_, token);
  std::erase_if(pending_step_downs_,
                [&](const pending_step_down& it) { return it.requester == requester; });
  pending_step_downs_.push_back({std::string(requester), token});
  confirm_step_downs(out);
  return out;
}

void order_gate::confirm_step_downs(actions& out) {
  // An attempt in flight must end before the step-down is confirmed.
  if (!attempts_in_flight_.empty()) {
    return;
  }
  for (const pending_step_down& it : pending_step_downs_) {
    out.emplace_back(
        confirm_step_down{options_.shard, it.requester, it.token, options_.boot_id, open_orders()});
  }
  pending_step_downs_.clear();
}

void order_gate::resume() {
  stopping_ = false;
  for (auto& [name, it] : targets_) {
    it.desired_state.reset();
    it.settled_state.reset();
  }
}

void order_gate::clear_settled_state(std::string_view target) {
  if (const auto it = targets_.find(target); it != targets_.end()) {
    it->second.settled_state.reset();
  }
}

bool order_gate::is_settled(time_point now) const {
  return attempts_in_flight_.empty() && now >= in_flight_until_ &&
         std::ranges::none_of(targets_,
                              [](const auto& it) { return it.second.open_order.has_value(); });
}

std::vector<order> order_gate::open_orders() const {
  std::vector<order> list;
  for (const auto& [name, it] : targets_) {
    if (it.open_order) {
      list.push_back(*it.open_order);
    }
  }
  return list;
}

} // namespace boragedoor::control
