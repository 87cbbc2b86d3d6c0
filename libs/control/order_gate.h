#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "control/lease_types.h"

namespace boragedoor::control {

/// Whether an endpoint rejects an order with an outdated fencing token.
enum class token_handling { checks, ignores };

/// Returns the id of an order. The id does not depend on the fencing token, so that the next holder
/// repeats an order under the same id.
std::string order_id(std::string_view shard, std::string_view target, std::string_view desired,
                     std::uint64_t sequence);

/// An instruction to bring a target to a desired state.
struct order {
  std::string id;
  /// Endpoint, pool or other receiver.
  std::string target;
  token_handling handling = token_handling::ignores;
  /// Canonical text of the desired state: equal states have equal texts.
  std::string desired;
  /// Position among the orders to this target, starting at 1.
  std::uint64_t sequence = 0;

  friend bool operator==(const order&, const order&) = default;
};

/// The lease and takeover state that `order_gate` checks before it sends an order.
struct order_permit {
  /// Empty when the shard is not held.
  std::optional<lease_permit> lease;
  bool takeover_cleared = false;
};

/// Send the order with the fencing token. Compare `not_after` with the monotonic clock immediately
/// before writing the bytes. If it has passed, call `on_attempt_failed` instead of sending.
struct send_order {
  order order_to_send;
  fencing_token token = 0;
  time_point not_after;
};
/// Answer a step_down request: this process sends no more orders for the shard under a token below
/// `token`.
struct confirm_step_down {
  std::string shard;
  /// Requester to answer, as passed to `on_step_down`.
  std::string requester;
  fencing_token token = 0;
  std::string boot_id;
  /// Unanswered orders. The new holder repeats them under the same ids.
  std::vector<order> open_orders;
};

using order_action = std::variant<send_order, confirm_step_down>;

struct order_gate_options {
  std::string shard;
  std::string boot_id;
  /// Delay before an unanswered order is sent again.
  duration retry_interval = seconds(1);
  /// Bytes of an attempt that ended without an answer may still arrive within this time. Until
  /// then, no other order is sent to the target and the shard is not settled.
  duration max_flight_time = seconds(1);
};

/// Decides which orders of one shard may be sent. It outlives the shard's leases within a process,
/// because a confirmed step-down is permanent. At most one order per target is open; the newest
/// desired state waits until that order is settled.
class order_gate {
public:
  explicit order_gate(order_gate_options options) : options_(std::move(options)) {}

  /// True if an order may be sent now to a target with this token handling.
  [[nodiscard]] bool may_send(token_handling handling, const order_permit& permit,
                              time_point now) const;

  /// Restores the last order of a target from the store or from a former holder. An order that is
  /// not settled is repeated before any other. Ignored if the gate already has a later order.
  void restore(const order& last, bool is_settled);
  /// Sets the desired state of a target. Returns at most one order, which is the target's open
  /// order.
  std::vector<order_action> request(std::string_view target, token_handling handling,
                                    std::string_view desired, const order_permit& permit,
                                    time_point now);
  /// Sends all orders that are due.
  std::vector<order_action> tick(const order_permit& permit, time_point now);
  /// Reports that the target confirmed the order or permanently refused it.
  std::vector<order_action> on_settled(std::string_view id, const order_permit& permit,
                                       time_point now);
  /// Reports that the attempt ended without an answer or was not made, and that its connection is
  /// closed.
  std::vector<order_action> on_attempt_failed(std::string_view id, time_point now);
  /// Handles the request of a holder with a higher token that this process stop sending.
  std::vector<order_action> on_step_down(std::string_view requester, fencing_token token,
                                         time_point now);
  /// Prepares a hand-over: opens no more orders, but repeats open ones until they are settled.
  void stop() { stopping_ = true; }
  /// Resumes after the shard was acquired again under a new token. Call `restore` with the last
  /// orders of other holders first. Desired states must be requested again, because another holder
  /// may have ordered a different state in the meantime.
  void resume();
  /// Allows the same state to be ordered again after the target was found to differ from its last
  /// settled order.
  void clear_settled_state(std::string_view target);

  /// True if no order is open and no bytes of an attempt can still be in flight.
  [[nodiscard]] bool is_settled(time_point now) const;
  /// Returns the open orders, for `orders/{data_centre}` and for a new holder.
  [[nodiscard]] std::vector<order> open_orders() const;

private:
  struct target_state {
    std::optional<order> open_order;
    time_point next_attempt;
    /// Time by which the bytes of all failed attempts have arrived.
    time_point in_flight_until;
    std::uint64_t last_sequence = 0;
    token_handling handling = token_handling::ignores;
    /// The newest desired state and the last settled one.
    std::optional<std::string> desired_state;
    std::optional<std::string> settled_state;
  };
  struct pending_step_down {
    std::string requester;
    fencing_token token = 0;
  };

  using actions = std::vector<order_action>;

  void advance(const std::string& target, target_state& state, const order_permit& permit,
               time_point now, actions& out);
  void open_next_order(const std::string& target, target_state& state) const;
  void confirm_step_downs(actions& out);

  order_gate_options options_;
  std::map<std::string, target_state, std::less<>> targets_;
  /// Order ids of attempts that have neither been answered nor failed.
  std::set<std::string, std::less<>> attempts_in_flight_;
  /// Time by which the bytes of failed attempts to all targets have arrived.
  time_point in_flight_until_;
  /// No order is sent under a lower token than this.
  fencing_token min_token_ = 0;
  std::vector<pending_step_down> pending_step_downs_;
  bool stopping_ = false;
};

} // namespace boragedoor::control
