#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/time.h"

namespace boragedoor::duties {

/// The store's record of the member that holds the duties. Its revision is the fencing token.
struct duty_record {
  /// Member id of the holder; empty if there is no record yet.
  std::string holder;
  /// Revision of the record; 0 if there is none.
  std::uint64_t revision = 0;
};

/// What the claimant knows of the member entry of the holder that the record names.
struct holder_entry {
  /// Revisions of the entry's last change and of its creation; 0 if there is none.
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  bool draining = false;
};

/// The duties are not claimed now.
struct claim_postponed {};
/// An earlier claim took effect although its response was lost.
struct claim_adopted {};
/// A write of the record that takes effect only if neither the record nor the entry of the previous
/// holder has changed.
struct claim_write {
  std::uint64_t record_revision = 0;
  /// Member id of the previous holder; empty if its entry does not matter.
  std::string previous_holder;
  std::uint64_t previous_entry_revision = 0;
};
using claim_decision = std::variant<claim_postponed, claim_adopted, claim_write>;

struct duty_claim_options {
  /// A member that lost the duties to another instance does not claim them again within this time.
  duration lease_ttl = seconds(3);
  /// Time between a takeover from another instance and the first call. A call that the previous
  /// holder sent at the end of its lease arrives before that.
  duration takeover_pause = milliseconds(300);
  /// Time between two claims.
  duration retry_delay = milliseconds(300);
};

/// Decides when a member claims the duties that one instance performs for all, and when it may act.
///
/// Receivers may not check fencing tokens, so calls of two holders must not overlap, and an
/// instance must not act again soon after another one did. A claim therefore depends on the
/// previous holder's member entry: it takes effect only once that entry is gone, which the lease
/// guarantees to happen after the previous holder has stopped, or is draining.
class duty_claim {
public:
  /// `member_id` consists of the instance name and the process start; `started` is the start time
  /// of this process.
  duty_claim(std::string member_id, time_point started, const duty_claim_options& options = {});

  /// Starts a claim if this member may have the duties, does not hold them, and no other claim is
  /// in progress. The caller then reads the record and calls `decide` or `fail`.
  [[nodiscard]] bool try_start(time_point now);
  /// Decides the claim in progress. `holder` is the member entry of the record's holder; if that is
  /// this member, the entry as it was written under the current lease, not as it was read, which
  /// may be from before. After `claim_write` the caller calls `written` or `fail`.
  [[nodiscard]] claim_decision decide(const duty_record& record, const holder_entry& holder,
                                      time_point now);
  /// Records that the write took effect at a store revision, which is the fencing token.
  void written(std::uint64_t revision, time_point now);
  /// Records that the record could not be read or written, or that the outcome is unknown.
  void fail();

  /// Gives up the duties and the claim in progress, for example because the lease is no longer
  /// valid. Returns whether this member held the duties.
  bool release(time_point now);
  /// Gives up the duties because a receiver has seen a higher token; the token is not used again.
  /// Returns false if it is not the current token.
  bool reject(std::uint64_t token, time_point now);

  /// The fencing token if this member holds the duties and may act; nullopt otherwise. The caller
  /// checks that its lease is valid.
  [[nodiscard]] std::optional<std::uint64_t> token(time_point now) const;
  [[nodiscard]] bool holds() const { return token_ != 0; }
  /// The fencing token, also before this member may act; 0 if it does not hold the duties.
  [[nodiscard]] std::uint64_t held_token() const { return token_; }

private:
  std::string member_id_;
  duty_claim_options options_;
  std::uint64_t token_ = 0;
  /// Last token that a receiver rejected.
  std::uint64_t rejected_token_ = 0;
  /// No call is made before this time.
  time_point acts_from_{};
  /// The instance may have made calls until this time: an earlier process of it before its start,
  /// this one until it gave up the duties.
  time_point last_acted_;
  time_point next_claim_{};
  /// Whether the claim in progress takes the duties from another instance.
  bool takes_over_ = false;
  bool in_progress_ = false;
  /// The duties were given up since the claim in progress was started, so it must not succeed: the
  /// lease may be another one by now.
  bool cancelled_ = false;
};

} // namespace boragedoor::duties
