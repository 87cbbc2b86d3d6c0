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

/// A process that may have sent orders for a shard. The key `holders/{shard}` lists those that are
/// not known to have stopped. It is not attached to a store lease, because the lease record
/// vanishes with the lease and the next holder would not know whom to ask.
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
/// Write `holders/{shard}` if its version is still `expect_version` (0: the key does not exist).
/// Answer: `on_written`.
struct write_holders {
  std::string shard;
  std::vector<former_holder> holders;
  std::uint64_t expect_version = 0;
};
/// Connect to `holder.address` and send step_down(shard, token). Answer: `on_answer`.
struct ask_step_down {
  std::string shard;
  former_holder holder;
  /// Token of the asker: the former holder gives up all lower ones.
  fencing_token token = 0;
};
/// All former holders are known to have stopped, and their bytes have arrived.
struct takeover_cleared {
  std::string shard;
};
/// The key no longer lists this process; reported after `leave`.
struct holder_removed {
  std::string shard;
};

using takeover_action =
    std::variant<read_holders, write_holders, ask_step_down, takeover_cleared, holder_removed>;

/// What came back from a former holder's address.
enum class step_down_reply {
  /// The process with the boot id given in the answer has given up all lower tokens.
  stepped_down,
  /// A process answered, with its boot id, but has not stepped down yet.
  busy,
  /// The connection was refused (ECONNREFUSED and nothing else).
  refused,
  /// Silence, a timeout or any other failure. No evidence.
  silent,
};

struct takeover_options {
  former_holder self;
  std::string shard;
  /// Bytes that a former holder sent before it stopped arrive within this time.
  duration in_flight = seconds(1);
  duration ask_interval = seconds(1);
  /// Longest time by which the platform's list trails the truth.
  duration list_lag = seconds(10);
  /// Wait before a store call is repeated after one without an answer.
  duration store_retry = seconds(1);
};

/// Clears the way for one holder, under one token, to order endpoints that ignore tokens. Every
/// store action is answered exactly once, with "unknown" after a timeout; at most one is
/// outstanding.
class takeover {
public:
  explicit takeover(takeover_options options) : options_(std::move(options)) {}

  std::vector<takeover_action> tick(time_point now);
  /// `holders` is empty when the store did not answer; a key that does not exist is an empty list
  /// with version 0.
  std::vector<takeover_action> on_read(std::optional<std::vector<former_holder>> holders,
                                       std::uint64_t version, time_point now);
  std::vector<takeover_action> on_written(store_outcome outcome, std::uint64_t version,
                                          time_point now);
  /// `asked` is the holder of the `ask_step_down` that this answers; `boot_id` is that of the
  /// process that answered, where one did.
  std::vector<takeover_action> on_answer(const former_holder& asked, step_down_reply reply,
                                         std::string_view boot_id, time_point now);
  /// A list that the platform just answered with; never call it for a list that was kept.
  std::vector<takeover_action> on_list(std::span<const member> members, time_point now);
  /// Takes this process off the list. Call only when it will send nothing more under its token and
  /// every order is settled.
  std::vector<takeover_action> leave(time_point now);

  /// True once orders may be sent to endpoints that ignore tokens.
  [[nodiscard]] bool is_cleared(time_point now) const;
  /// Former holders without evidence so far.
  [[nodiscard]] std::vector<former_holder> waiting_for() const;

private:
  struct suspect {
    former_holder holder;
    /// When the evidence that it has stopped was seen.
    std::optional<time_point> evidence;
    /// Arrival of the first of an unbroken series of lists without the instance.
    std::optional<time_point> absent_since;
    time_point next_ask;
  };
  enum class call { none, read, write };

  using actions = std::vector<takeover_action>;

  void sync(time_point now, actions& out);
  void ask(time_point now, actions& out);
  void add_suspects();
  void report(time_point now, actions& out);
  [[nodiscard]] std::vector<former_holder> desired(time_point now) const;
  [[nodiscard]] bool has_stopped(const suspect& it, time_point now) const;
  [[nodiscard]] bool is_listed() const;
  [[nodiscard]] bool is_superseded() const;

  takeover_options options_;
  std::vector<suspect> suspects_;
  /// Last known value of the key; empty when it must be read.
  std::optional<std::vector<former_holder>> stored_;
  std::uint64_t version_ = 0;
  std::vector<former_holder> writing_;
  call outstanding_ = call::none;
  time_point next_call_;
  /// Set once the key was seen to list this process. From then on every former holder is known,
  /// because any other write must read that entry first.
  bool registered_ = false;
  bool leaving_ = false;
  bool reported_ = false;
};

} // namespace boragedoor::control
