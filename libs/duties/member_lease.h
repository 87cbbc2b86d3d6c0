#pragma once

#include <cstdint>

#include "base/time.h"

namespace boragedoor::duties {

/// The next store call for a member's lease.
enum class lease_step {
  none,
  /// Request a lease.
  grant,
  /// Write the member entry, bound to the lease.
  enter,
  renew,
};

struct member_lease_options {
  duration ttl = seconds(3);
  /// The lease counts as expired this much early, because clocks run at different rates.
  duration safety_margin = milliseconds(200);
  /// Renewals per TTL: two may be lost before the lease expires.
  int renewals_per_ttl = 3;
  /// Delay after a call that failed.
  duration retry_delay = milliseconds(100);
};

/// Decides when a member requests and renews the lease of its entry, and until when it may rely on
/// it. The store removes the entry when the lease ends.
class member_lease {
public:
  explicit member_lease(const member_lease_options& options = {}) : options_(options) {}

  /// Returns the call to send now. Until its outcome is recorded, returns `none`.
  [[nodiscard]] lease_step next_step(time_point now);
  /// Records a granted lease. `sent_at` is when the request was sent: the store counts from later.
  void granted(std::uint64_t lease, duration ttl, time_point sent_at);
  /// Records that the entry was written at a store revision. Returns false if this lease has ended
  /// meanwhile.
  bool entered(std::uint64_t lease, std::uint64_t revision, time_point now);
  void renewed(std::uint64_t lease, time_point sent_at);
  /// Records that a call was refused or got no response.
  void failed(time_point now);
  /// Records that the store no longer has the lease.
  void lost(std::uint64_t lease, time_point now);
  /// Drops the lease if it may have ended in the store. Returns whether it did.
  bool drop_expired(time_point now);
  /// Makes `next_step` write the entry again.
  void write_entry_again(time_point now);
  /// Makes `next_step` request a new lease, so that the member becomes the youngest. Returns the
  /// lease to end, or 0.
  std::uint64_t restart(time_point now);
  /// Stops all steps. Returns the lease to end, or 0.
  std::uint64_t leave();

  /// Whether the entry was written and the lease is valid by the local clock.
  [[nodiscard]] bool is_valid(time_point now) const { return entered_ && now < valid_until_; }
  /// Time for which a lease is requested.
  [[nodiscard]] duration ttl() const { return options_.ttl; }
  [[nodiscard]] std::uint64_t lease() const { return lease_; }
  /// Store revision at which the entry was last written under this lease; 0 if it was not.
  [[nodiscard]] std::uint64_t entry_revision() const { return entered_ ? entry_revision_ : 0; }
  [[nodiscard]] bool has_left() const { return left_; }

private:
  member_lease_options options_;
  std::uint64_t lease_ = 0;
  duration ttl_{};
  /// The lease lasts at least until this time.
  time_point valid_until_{};
  time_point next_call_{};
  std::uint64_t entry_revision_ = 0;
  bool entered_ = false;
  bool call_pending_ = false;
  bool left_ = false;
};

} // namespace boragedoor::duties
