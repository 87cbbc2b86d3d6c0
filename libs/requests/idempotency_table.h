#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/cas_write.h"
#include "base/store_action.h"
#include "base/time.h"
#include "requests/idempotency_record.h"

namespace boragedoor::requests {

/// The claim of a call is stored durably. The caller now waits for a free endpoint and then calls
/// `mark_sent`, or gives up and calls `release`.
struct request_claimed {
  std::uint64_t id = 0;
};

/// The request may be sent now, by this process only. Issued at most once per call.
struct send_request {
  std::uint64_t id = 0;
};

/// Outcome of a call with an idempotency key.
enum class idempotency_status {
  /// The response of the only execution.
  answer,
  /// Another call with the key is running.
  in_progress,
  /// The request was sent, and its response is not known.
  outcome_unknown,
  /// The key belongs to a different request.
  key_conflict,
  /// No request was sent for this key, and none will be sent for this call.
  not_executed,
  /// No request was sent for this call, and none will be. The store did not respond, so it is not
  /// known whether an earlier call with the key was executed.
  store_unavailable
};
std::string_view to_string(idempotency_status status);

/// Reply to the caller. Issued at most once per call.
struct idempotency_reply {
  std::uint64_t id = 0;
  idempotency_status status = idempotency_status::not_executed;
  /// Set if `status` is `answer`.
  stored_response response;
};

/// The outcome of a store write was determined by reading the record back. Reported for the event
/// log.
struct idempotency_readback {
  std::uint64_t id = 0;
};

using idempotency_action = std::variant<store_put, store_get, store_delete, request_claimed,
                                        send_request, idempotency_reply, idempotency_readback>;
using idempotency_actions = std::vector<idempotency_action>;

struct idempotency_options {
  /// Age at which a record may be removed. A resend after that is executed again, so callers must
  /// stop resending earlier.
  duration retention = std::chrono::hours(24);
  /// How long after its deadline a call that has been replied to keeps trying to update its record.
  duration record_update_timeout = std::chrono::minutes(10);
};

/// A call that carries an idempotency key.
struct idempotency_call {
  /// Unique within this process.
  std::uint64_t id = 0;
  std::string workspace;
  std::string idempotency_key;
  std::string body_hash;
  /// When this call times out, on the monotonic clock and on the wall clock.
  time_point deadline{};
  wall_time wall_deadline{};
  /// An endpoint is free, so the record is claimed and marked as sent in a single write.
  bool send_at_once = false;
  /// When the call times out if the store has not confirmed its claim.
  time_point claim_deadline = time_point::max();
};

/// Executes a non-idempotent request with an idempotency key at most once across all instances.
///
/// A record changes from `claimed` to `sent` by compare-and-swap before the first byte is sent.
/// Therefore any call may take over a `claimed` record whose claiming call has timed out, and no
/// call may take over a `sent` record.
class idempotency_table {
public:
  /// Creates a table whose claim ids start with the instance id and the boot id, which makes them
  /// unique.
  static idempotency_table create(std::string instance, std::string boot,
                                  idempotency_options options = {});

  /// Starts a call by claiming its key.
  idempotency_actions begin(time_point now, wall_time wall, idempotency_call call);
  /// Marks the call as sent. To be called after `request_claimed`, once an endpoint is free.
  idempotency_actions mark_sent(time_point now, std::uint64_t id);
  /// Handles the response of the endpoint.
  idempotency_actions finish(time_point now, std::uint64_t id, stored_response response);
  /// Handles an attempt that failed after bytes may have been sent.
  idempotency_actions finish_unknown(time_point now, std::uint64_t id);
  /// Removes the claim and replies `not_executed`. To be called only if no byte was sent; it may be
  /// called before or after `send_request`. If the claim is not yet marked as sent, the reply waits
  /// until the store confirms the removal, because another call may have taken over the claim.
  idempotency_actions release(time_point now, std::uint64_t id);

  /// Handles the result of a store write or deletion.
  idempotency_actions finish_write(time_point now, const store_write_result& result);
  idempotency_actions finish_read(time_point now, wall_time wall, const store_read_result& result);
  idempotency_actions tick(time_point now);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

  /// Removes a record found by a prefix listing if it is older than the retention period. This
  /// includes `sent` records, because the retention period is far longer than any deadline.
  idempotency_actions expire(time_point now, wall_time wall, const std::string& key,
                             const std::string& value, std::uint64_t version);

  [[nodiscard]] std::size_t size() const { return calls_.size(); }
  [[nodiscard]] const store_call_counts& calls() const { return store_caller_.counts(); }

private:
  enum class call_phase { claiming, claimed, marking, sent, finalizing, releasing };

  struct pending_call {
    idempotency_call call;
    call_phase phase = call_phase::claiming;
    idempotency_record record;
    std::uint64_t version = 0;
    std::optional<cas_write> write;
    /// The reply has been issued; only the update of the record is outstanding.
    bool replied = false;
    bool release_requested = false;
    /// When the caller is replied to even if the store has not responded.
    time_point reply_deadline{};
    /// Id of the outstanding store call of a release (0: none), and when to retry the release.
    std::uint64_t release_store_call = 0;
    std::optional<time_point> release_retry_at;
    backoff release_backoff;
  };

  idempotency_table(std::string instance, std::string boot, idempotency_options options);

  pending_call* find(std::uint64_t id, call_phase phase);
  void claim(idempotency_actions& actions, pending_call& pending, std::uint64_t expect_version);
  void write(idempotency_actions& actions, pending_call& pending, idempotency_state state,
             std::uint64_t expect_version);
  void write_final(idempotency_actions& actions, pending_call& pending, idempotency_state state);
  static void reply(idempotency_actions& actions, pending_call& pending, idempotency_status status,
                    stored_response response = {});
  void handle_written(idempotency_actions& actions, pending_call& pending);
  void handle_conflict(wall_time wall, idempotency_actions& actions, pending_call& pending,
                       const cas_write& write);
  void apply_existing_record(wall_time wall, idempotency_actions& actions, pending_call& pending,
                             const std::string& text, std::uint64_t version);
  /// Returns whether the call is finished.
  bool complete_write(wall_time wall, idempotency_actions& actions, pending_call& pending);
  void release(idempotency_actions& actions, pending_call& pending);
  /// Handles the result of deleting a claim. Returns whether the call is finished.
  bool handle_claim_deleted(time_point now, idempotency_actions& actions, pending_call& pending,
                            const store_write_result& result);
  /// Handles the record that was read after a deletion conflict. Returns whether the call is
  /// finished.
  bool handle_claim_read(time_point now, wall_time wall, idempotency_actions& actions,
                         pending_call& pending, const store_read_result& result);
  /// Calls `visit` with each call and erases those for which it returns true.
  template <class Visit>
  void erase_finished(Visit visit);
  /// Replies or releases the claim once the reply deadline has passed. Returns whether the call is
  /// finished.
  bool check_deadline(time_point now, idempotency_actions& actions, pending_call& pending);

  std::string instance_;
  std::string boot_;
  idempotency_options options_;
  store_caller store_caller_;
  std::uint64_t last_claim_ = 0;
  std::map<std::uint64_t, pending_call> calls_;
};

} // namespace boragedoor::requests
