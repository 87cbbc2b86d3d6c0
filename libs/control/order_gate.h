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

/// Whether an endpoint rejects an order with an old fencing token.
enum class token_handling { checks, ignores };

/// Returns the id of an order. It does not depend on the token, so that the next holder repeats an
/// order under the same id.
std::string order_id(std::string_view shard, std::string_view target, std::string_view desired,
                     std::uint64_t sequence);

/// An order to bring a target to a desired state.
struct order {
  std::string id;
  /// Endpoint, pool or other receiver.
  std::string target;
  token_handling handling = token_handling::ignores;
  /// Desired state in a form that is the same text for the same state.
  std::string desired;
  /// Position among the orders to this target, from 1.
  std::uint64_t sequence = 0;

  friend bool operator==(const order&, const order&) = default;
};

/// What the gate needs to know at the time of a decision.
struct order_permit {
  /// Empty when the shard is not held.
  std::optional<lease_permit> lease;
  bool takeover_cleared = false;
};

/// Send the order with the token. Compare `not_after` with the monotonic clock immediately before
/// the bytes are written, and report `on_attempt_failed` instead when it has passed.
struct send_order {
  order what;
  fencing_token token = 0;
  time_point not_after;
};
/// Answer step_down: this process sends nothing more for the shard under a token below `token`.
struct answer_stepped_down {
  std::string shard;
  /// Asker to answer, as given to `on_step_down`.
  std::string asker;
  fencing_token token = 0;
  std::string boot_id;
  /// Orders without an answer. The new holder repeats them under the same ids.
  std::vector<order> open;
};

using order_action = std::variant<send_order, answer_stepped_down>;

struct order_gate_options {
  std::string shard;
  std::string boot_id;
  /// Wait before an order without an answer is sent again.
  duration retry_interval = seconds(1);
  /// Bytes of an attempt that ended without an answer may still arrive within this time. Until then
  /// no different order is sent to the target and the shard does not count as settled.
  duration in_flight = seconds(1);
};

/// Decides which orders of one shard may be sent. Outlives the leases of the shard in one process,
/// because a promise to step down holds for good. At most one order per target is open; the newest
/// desired state waits until it is settled.
class order_gate {
public:
  explicit order_gate(order_gate_options options) : options_(std::move(options)) {}

  /// True if an order to such a target may be sent now.
  [[nodiscard]] bool may_send(token_handling handling, const order_permit& permit,
                              time_point now) const;

  /// Takes over the last order of a target from the store or from a former holder. An order that is
  /// not settled is repeated before any other. Ignored if the gate knows a later one.
  void restore(const order& last, bool is_settled);
  /// Asks for a desired state. Sends at most the open order of the target.
  std::vector<order_action> request(std::string_view target, token_handling handling,
                                    std::string_view desired, const order_permit& permit,
                                    time_point now);
  /// Sends what is due.
  std::vector<order_action> tick(const order_permit& permit, time_point now);
  /// The target confirmed or finally refused the order.
  std::vector<order_action> on_settled(std::string_view id, const order_permit& permit,
                                       time_point now);
  /// The attempt ended without an answer, or was not made; its connection is closed.
  std::vector<order_action> on_attempt_failed(std::string_view id, time_point now);
  /// A holder with a higher token asks this process to stop.
  std::vector<order_action> on_step_down(std::string_view asker, fencing_token token,
                                         time_point now);
  /// Starts no further order; open ones are still repeated until settled. For a hand-over.
  void stop() { stopping_ = true; }
  /// The shard was acquired again under a new token. Desired states must be asked for again,
  /// because another holder may have ordered something else in between; `restore` its last orders
  /// first.
  void resume();
  /// The target was seen to differ from its last settled order, so that the same state may be
  /// ordered again.
  void forget_settled(std::string_view target);

  /// True if no order is open and no bytes of one may still be on their way.
  [[nodiscard]] bool is_settled(time_point now) const;
  /// The open orders, for `orders/{data_centre}` and for a new holder.
  [[nodiscard]] std::vector<order> open_orders() const;

private:
  struct target_state {
    std::optional<order> open;
    time_point next_attempt;
    /// When the bytes of all failed attempts have arrived.
    time_point quiet_from;
    std::uint64_t last_sequence = 0;
    token_handling handling = token_handling::ignores;
    /// Newest desired state, and the last one settled.
    std::optional<std::string> wanted;
    std::optional<std::string> settled;
  };
  struct pending_answer {
    std::string asker;
    fencing_token token = 0;
  };

  using actions = std::vector<order_action>;

  void advance(const std::string& target, target_state& it, const order_permit& permit,
               time_point now, actions& out);
  void start(const std::string& target, target_state& it) const;
  void answer_askers(actions& out);

  order_gate_options options_;
  std::map<std::string, target_state, std::less<>> targets_;
  /// Ids of attempts that may still have bytes on their way.
  std::set<std::string, std::less<>> in_flight_;
  /// The latest `quiet_from` of all targets.
  time_point quiet_from_;
  /// Orders under lower tokens are never sent again.
  fencing_token fence_ = 0;
  std::vector<pending_answer> askers_;
  bool stopping_ = false;
};

} // namespace boragedoor::control
