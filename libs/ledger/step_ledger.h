#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/cas_write.h"
#include "base/result.h"
#include "base/store_action.h"
#include "base/time.h"
#include "ledger/batch_builder.h"
#include "ledger/batch_contents.h"
#include "ledger/sample.h"
#include "ledger/sample_table.h"
#include "ledger/step_record.h"

namespace boragedoor::ledger {

/// Starts an attempt at a sample. The caller reports its result with `finish_sample` or
/// `fail_sample`.
struct run_sample {
  sample_attempt attempt;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// Derived from the sample only, so that a retry uses the same random numbers.
  std::uint64_t seed = 0;
};

/// Reply to `open`. Succeeds if the step exists with the requested specification; fails with
/// `conflict` if it exists with a different one.
struct open_reply {
  std::uint64_t request = 0;
  result<void> outcome = success();
};

enum class batch_reply_kind { batch, none_yet, complete, refused };

/// Reply to `poll`.
struct batch_reply {
  std::uint64_t request = 0;
  batch_reply_kind kind = batch_reply_kind::none_yet;
  std::uint64_t n = 0;
  /// Response body, sent to the trainer unchanged.
  std::string content;
  /// Set if `kind` is `refused`.
  error reason;
};

/// Reply to `acknowledge`.
struct acknowledge_reply {
  std::uint64_t request = 0;
  result<void> outcome = success();
};

enum class step_change {
  opened,
  recovered,
  batch_committed,
  batch_delivered,
  batch_acknowledged,
  batch_voided,
  completed,
  readback
};

/// A change of the step or of a batch, recorded in the event log.
struct step_event {
  step_change change = step_change::opened;
  std::uint64_t n = 0;
};

/// Another holder has taken over the step, or the record is damaged or deleted. The ledger fails
/// all waiting requests with `reason` and issues no further store calls; the caller destroys it.
struct step_stopped {
  error reason;
};

using action = std::variant<store_put, store_get, store_delete, run_sample, open_reply, batch_reply,
                            acknowledge_reply, step_event, step_stopped>;
using actions = std::vector<action>;

struct ledger_options {
  /// Content size at which a batch is closed.
  std::size_t batch_bytes = max_store_value_bytes;
  /// Longest time that a finished group waits for other groups to share its batch. At 30 s a step
  /// of 24 minutes has fewer than 50 batches, and 7 trainers need less than one store write per
  /// second.
  duration batch_linger = seconds(30);
  /// Number of batches from which on only full batches and the last batch are closed. Half of the
  /// number that the record reserves space for.
  std::size_t max_partial_batches = 128;
  /// Maximum number of samples of this step that run concurrently.
  std::uint32_t max_running = 512;
  /// Delay before a failed sample or a store call with an unknown outcome is retried. Doubles with
  /// each retry up to `max_retry_delay`.
  duration retry_delay = milliseconds(200);
  duration max_retry_delay = seconds(5);
};

/// State machine of one trainer step, run by the holder of shard `trainer/{trainer}`.
///
/// The step record and the batch contents are the only durable state. The record is written by
/// compare-and-swap, one write at a time. A reply that depends on a write is sent to the trainer
/// only after the write is known to have succeeded.
class step_ledger {
public:
  /// `token` is the fencing token of the shard's lease. `trainer_version` is the newest weight
  /// version that the trainer has announced; staleness is measured against this version or a newer
  /// one.
  static step_ledger create(std::string trainer, std::uint64_t step, std::uint64_t token,
                            std::uint64_t trainer_version, ledger_options options = {});

  /// Opens the step for a trainer; creates its record if it does not exist.
  actions open(time_point now, std::uint64_t request, step_spec spec);
  /// Reads the step record that a previous holder may have written. Does nothing if the ledger has
  /// already started.
  actions recover(time_point now);
  /// Records that the trainer published a weight version.
  actions announce_version(time_point now, std::uint64_t version);

  actions finish_sample(time_point now, sample_result result);
  actions fail_sample(time_point now, const sample_attempt& attempt);

  /// Requests the batch that follows batch `after` and acknowledges all batches up to `after`. The
  /// reply is sent no later than the first `tick` at or after `deadline`. `version` is the
  /// trainer's weight version if the poll carried one, otherwise 0: a holder that is new or was
  /// paused may have missed its announcement.
  actions poll(time_point now, std::uint64_t request, std::uint64_t after, time_point deadline,
               std::uint64_t version = 0);
  /// Drops a poll whose connection was closed.
  void cancel_poll(std::uint64_t request);
  actions acknowledge(time_point now, std::uint64_t request, std::uint64_t batch_number);

  actions finish_write(time_point now, const store_write_result& result);
  actions finish_read(time_point now, const store_read_result& result);

  /// Runs due retries and timeouts. Call it at `next_wakeup` or periodically.
  actions tick(time_point now);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

  [[nodiscard]] bool stopped() const { return phase_ == phase::stopped; }
  [[nodiscard]] bool complete() const { return phase_ == phase::complete; }
  [[nodiscard]] const step_record& record() const { return record_; }
  [[nodiscard]] const store_call_counts& calls() const { return caller_.counts(); }

private:
  enum class phase { idle, reading, absent, creating, claiming, active, complete, stopped };

  struct waiting_open {
    std::uint64_t request = 0;
    step_spec spec;
    std::string hash;
  };
  struct waiting_poll {
    std::uint64_t request = 0;
    std::uint64_t after = 0;
    time_point deadline{};
  };
  struct waiting_acknowledgement {
    std::uint64_t request = 0;
    std::uint64_t n = 0;
  };

  step_ledger(std::string trainer, std::uint64_t step, std::uint64_t token,
              std::uint64_t trainer_version, ledger_options options);

  // Reading, creating and claiming the record.
  void read_record(actions& out);
  void create(actions& out);
  void claim_record(time_point now, actions& out, step_record found, std::uint64_t version);
  void parse_and_claim_record(time_point now, actions& out, const std::string& text,
                              std::uint64_t version);
  void activate(time_point now, actions& out);
  void answer_opens(actions& out);
  void stop(actions& out, error reason);

  // Writing the record.
  void write_record(actions& out, step_record next);
  void finish_record_write(time_point now, actions& out);
  void handle_record_conflict(time_point now, actions& out, const cas_write& write);
  void handle_record_written(time_point now, actions& out, const cas_write& write);
  void handle_batch_state_change(actions& out, const batch_entry& before, const batch_entry& after);

  // Computing the next content of the record.
  [[nodiscard]] step_record compute_next_record() const;
  void apply_acknowledgements(step_record& next) const;
  void list_pending_batch(step_record& next) const;
  void void_unusable_batches(step_record& next) const;
  void mark_next_batch_delivered(step_record& next) const;
  void complete_if_all_deleted(step_record& next) const;
  [[nodiscard]] bool exceeds_staleness_bound(std::uint64_t least_version) const;
  [[nodiscard]] bool can_void(const batch_entry& entry) const;
  [[nodiscard]] bool all_acknowledged() const;

  // Samples and batches.
  void advance(time_point now, actions& out);
  void start_samples(time_point now, actions& out);
  void advance_batch(time_point now, actions& out);
  void write_batch(actions& out);
  [[nodiscard]] bool may_build_partial_batch() const;
  void erase_content(actions& out, std::uint64_t batch_number, std::uint32_t parts);
  void erase_unlisted_contents(actions& out);

  // Delivery.
  void answer_polls(time_point now, actions& out);
  bool answer_poll(time_point now, actions& out, const waiting_poll& waiting);
  bool deliver(actions& out, std::uint64_t request);
  void answer_acknowledgements(actions& out);
  [[nodiscard]] std::optional<result<void>>
  acknowledgement_outcome(std::uint64_t batch_number) const;

  std::string trainer_;
  std::uint64_t step_;
  std::uint64_t token_;
  std::uint64_t trainer_version_;
  ledger_options options_;
  phase phase_ = phase::idle;
  error stop_reason_;
  store_caller caller_;

  step_record record_;
  std::uint64_t record_version_ = 0;
  std::optional<cas_write> record_write_;
  step_record next_record_;
  std::uint64_t record_read_call_ = 0;
  std::optional<time_point> record_read_retry_at_;
  backoff record_read_backoff_;

  sample_table samples_;
  batch_builder builder_;
  batch_contents contents_;
  /// The batch whose content is being written, or is written but not yet listed in the record.
  std::optional<batch_body> pending_batch_;
  batch_entry pending_entry_;
  std::uint64_t next_batch_number_ = 1;
  /// Batches that this holder marked as delivered but has not sent. No other holder has sent them
  /// either, so they can still be voided.
  std::set<std::uint64_t> unsent_batches_;
  bool unlisted_contents_erased_ = false;

  std::vector<waiting_open> waiting_opens_;
  std::vector<waiting_poll> waiting_polls_;
  std::vector<waiting_acknowledgement> waiting_acknowledgements_;
};

} // namespace boragedoor::ledger
