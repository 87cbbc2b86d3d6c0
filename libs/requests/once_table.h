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
#include "requests/once_record.h"

namespace boragedoor::requests {

/// The claim of a call is durable; the request may wait for an endpoint.
struct request_claimed {
  std::uint64_t id = 0;
};

/// The request may be sent now, by this process and no other. Comes at most once for a call.
struct send_request {
  std::uint64_t id = 0;
};

enum class once_status {
  /// The answer of the one execution.
  answer,
  /// Another call with the key is running.
  in_progress,
  /// The request was sent and its answer is not known.
  outcome_unknown,
  /// The key belongs to another request.
  key_conflict,
  /// Nothing was sent for this key, and nothing will be for this call.
  not_executed,
  /// Nothing was sent for this call, and nothing will be. The store did not answer, so it is not
  /// known whether an earlier call with the key ran.
  store_unavailable
};
std::string_view to_string(once_status status);

/// Answers the caller. Comes at most once for a call.
struct once_reply {
  std::uint64_t id = 0;
  once_status status = once_status::not_executed;
  stored_answer answer;
};

/// The outcome of a store call was read back; for the event log.
struct once_readback {
  std::uint64_t id = 0;
};

using once_action = std::variant<store_put, store_get, store_delete, request_claimed, send_request,
                                 once_reply, once_readback>;
using once_actions = std::vector<once_action>;

struct once_options {
  /// Age at which a record may be removed. A resend after that runs again, so callers must give
  /// up earlier.
  duration keep = std::chrono::hours(24);
  /// How long after its deadline a call whose caller is answered still tries to bring its record up
  /// to date.
  duration settle_for = std::chrono::minutes(10);
};

/// A call that carries an idempotency key.
struct once_call {
  /// Unique in this process.
  std::uint64_t id = 0;
  std::string workspace;
  std::string idempotency_key;
  std::string body_hash;
  /// When this call gives up, on both clocks.
  time_point deadline{};
  wall_time wall_deadline{};
  /// An endpoint is free: claim and mark as sent in one write.
  bool send_at_once = false;
  /// When the call gives up if the store has not confirmed its claim by then.
  time_point claim_by = time_point::max();
};

/// Runs non-idempotent requests with an idempotency key at most once, over all instances.
///
/// `claimed` becomes `sent` by compare-and-swap before the first byte is sent. A claim whose
/// claimer is gone can therefore be taken over by anybody, and a record that is `sent` by nobody.
class once_table {
public:
  /// `instance` and `boot` make claims unique.
  static once_table create(std::string instance, std::string boot, once_options options = {});

  /// Starts a call: claims its key.
  once_actions begin(time_point now, wall_time wall, once_call call);
  /// After `request_claimed`: an endpoint is free; marks the call as sent.
  once_actions mark_sent(time_point now, std::uint64_t id);
  /// The endpoint answered.
  once_actions finish(time_point now, std::uint64_t id, stored_answer answer);
  /// The attempt broke after bytes may have been sent.
  once_actions lose(time_point now, std::uint64_t id);
  /// Certainly no byte was sent, before or after `send_request`: removes the claim and then tells
  /// the caller `not_executed`. A claim that was not marked as sent may have been taken over, so
  /// the answer waits until the store confirms.
  once_actions release(time_point now, std::uint64_t id);

  once_actions finish_write(time_point now, const store_write_result& result);
  once_actions finish_read(time_point now, wall_time wall, const store_read_result& result);
  once_actions tick(time_point now);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

  /// Removes a record read by a prefix listing if it is old enough. `sent` records are removed too:
  /// their age is far above any deadline.
  once_actions expire(time_point now, wall_time wall, const std::string& key,
                      const std::string& value, std::uint64_t version);

  [[nodiscard]] std::size_t size() const { return calls_.size(); }
  [[nodiscard]] const store_call_counts& calls() const { return caller_.counts(); }

private:
  enum class step { claiming, claimed, marking, sent, closing, releasing };

  struct entry {
    once_call call;
    step at = step::claiming;
    once_record record;
    std::uint64_t version = 0;
    std::optional<cas_write> write;
    /// The caller is answered; only the record is to be brought up to date.
    bool replied = false;
    bool release_wanted = false;
    /// When the caller is answered even if the store is not.
    time_point answer_by{};
    /// The outstanding call of a release, and when it is repeated.
    std::uint64_t release_call = 0;
    std::optional<time_point> release_at;
    backoff release_delay;
  };

  once_table(std::string instance, std::string boot, once_options options);

  entry* find(std::uint64_t id, step at);
  void claim(once_actions& out, entry& it, std::uint64_t expect_version);
  void write(once_actions& out, entry& it, once_state state, std::uint64_t expect_version);
  void close(once_actions& out, entry& it, once_state state);
  static void reply(once_actions& out, entry& it, once_status status, stored_answer answer = {});
  void written(once_actions& out, entry& it);
  void refused(wall_time wall, once_actions& out, entry& it, const cas_write& found);
  void resolve(wall_time wall, once_actions& out, entry& it, const std::string& text,
               std::uint64_t version);
  bool settle(wall_time wall, once_actions& out, entry& it);
  void release(once_actions& out, entry& it);
  bool release_written(time_point now, once_actions& out, entry& it,
                       const store_write_result& result);
  bool release_read(time_point now, wall_time wall, once_actions& out, entry& it,
                    const store_read_result& result);
  template <class Visit>
  void erase_finished(Visit visit);
  bool pass_deadline(time_point now, once_actions& out, entry& it);

  std::string instance_;
  std::string boot_;
  once_options options_;
  store_caller caller_;
  std::uint64_t last_claim_ = 0;
  std::map<std::uint64_t, entry> calls_;
};

} // namespace boragedoor::requests
