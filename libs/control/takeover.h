#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/member.h"
#include "base/time.h"
#include "control/lease_types.h"

namespace boragedoor::control {

/// A process that may have sent orders for a shard. The key `holders/{shard}` lists the processes
/// that are not known to have stopped. It is not attached to a store lease: it would expire
/// together with the lease, and the next holder would not know which processes to ask.
struct former_holder {
  std::string instance;
  std::string boot_id;
  std::string address;
  fencing_token token = 0;

  friend bool operator==(const former_holder&, const former_holder&) = default;
};

/// Read `holders/{shard}`. Answer: `on_read`.
struct read_holders {
  std::string shard;
};
/// Write `holders/{shard}` if its version is still `expect_version` (0 if the key does not exist).
/// Answer: `on_written`.
struct write_holders {
  std::string shard;
  std::vector<former_holder> holders;
  std::uint64_t expect_version = 0;
};
/// Connect to `holder.address` and send step_down(shard, token). Answer: `on_step_down_reply`.
struct request_step_down {
  std::string shard;
  former_holder holder;
  /// Token of the requester. The former holder must stop sending under all lower tokens.
  fencing_token token = 0;
};
/// All former holders are known to have stopped, and the bytes they sent have arrived.
struct takeover_cleared {
  std::string shard;
};
/// The key `holders/{shard}` no longer lists this process. Returned after `deregister`.
struct holder_removed {
  std::string shard;
};

using takeover_action =
    std::variant<read_holders, write_holders, request_step_down, takeover_cleared, holder_removed>;

/// Result of a step_down request to a former holder's address.
enum class step_down_reply {
  /// The process whose boot id is in the answer has stopped sending under all lower tokens.
  stepped_down,
  /// A process answered with its boot id, but has not stepped down yet.
  busy,
  /// The connection was refused (only ECONNREFUSED).
  refused,
  /// A timeout or any other failure. Does not show that the former holder has stopped.
  no_answer,
};

struct takeover_options {
  former_holder self;
  std::string shard;
  /// Longest time that bytes sent by a former holder before it stopped can take to arrive.
  duration max_flight_time = seconds(1);
  duration step_down_retry_interval = seconds(1);
  /// Longest delay of the platform's instance list behind the actual state.
  duration max_list_lag = seconds(10);
  /// Delay before an unanswered store call is repeated.
  duration store_retry_delay = seconds(1);
};

/// Determines when one holder, under one token, may send orders to endpoints that ignore tokens: as
/// soon as all former holders are known to have stopped. Every store action must be answered
/// exactly once, with "unknown" after a timeout. At most one store action is outstanding.
class takeover {
public:
  explicit takeover(takeover_options options) : options_(std::move(options)) {}

  std::vector<takeover_action> tick(time_point now);
  /// `holders` has no value if the store did not answer. A key that does not exist is reported as
  /// an empty list with version 0.
  std::vector<takeover_action> on_read(std::optional<std::vector<former_holder>> holders,
                                       std::uint64_t version, time_point now);
  std::vector<takeover_action> on_written(store_outcome outcome, std::uint64_t version,
                                          time_point now);
  /// `asked` is the holder of the `request_step_down` that is answered. `boot_id` is the boot id of
  /// the process that answered, or empty if none did.
  std::vector<takeover_action> on_step_down_reply(const former_holder& asked, step_down_reply reply,
                                                  std::string_view boot_id, time_point now);
  /// Handles an instance list. Pass only lists that the platform has just returned, never a cached
  /// one.
  std::vector<takeover_action> on_instance_list(std::span<const member> members, time_point now);
  /// Removes this process from `holders/{shard}`. Call only when every order is settled and the
  /// process sends no more under its token.
  std::vector<takeover_action> deregister(time_point now);

  /// True once orders may be sent to endpoints that ignore tokens.
  [[nodiscard]] bool is_cleared(time_point now) const;
  /// Returns the former holders that are not yet known to have stopped.
  [[nodiscard]] std::vector<former_holder> unconfirmed_holders() const;

private:
  struct former_holder_state {
    former_holder holder;
    /// Time of the first evidence that the holder has stopped.
    std::optional<time_point> evidence;
    /// Arrival time of the first in an unbroken series of instance lists without the instance.
    std::optional<time_point> absent_since;
    time_point next_request;
  };
  enum class store_call { none, read, write };

  using actions = std::vector<takeover_action>;

  void sync_holders_key(time_point now, actions& out);
  void send_step_down_requests(time_point now, actions& out);
  void track_former_holders();
  void report_completion(time_point now, actions& out);
  [[nodiscard]] std::vector<former_holder> desired_holders(time_point now) const;
  [[nodiscard]] bool has_stopped(const former_holder_state& state, time_point now) const;
  [[nodiscard]] bool is_listed() const;
  [[nodiscard]] bool is_superseded() const;

  takeover_options options_;
  std::vector<former_holder_state> former_holders_;
  /// Last known value of `holders/{shard}`; empty if the key must be read.
  std::optional<std::vector<former_holder>> stored_;
  std::uint64_t version_ = 0;
  std::vector<former_holder> pending_write_;
  store_call outstanding_call_ = store_call::none;
  time_point next_call_;
  /// True once the key has been found to list this process. From then on every former holder is
  /// known, because any other process must read this entry before it can write the key.
  bool registered_ = false;
  bool deregistering_ = false;
  bool reported_ = false;
};

} // namespace boragedoor::control
