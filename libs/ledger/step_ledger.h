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

/// Start an attempt. Its end comes back through `finish_sample` or `fail_sample`.
struct run_sample {
  sample_attempt attempt;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// Depends on the sample only, so that a retry draws the same numbers.
  std::uint64_t seed = 0;
};

/// Answers `open`: the step exists with this content, or why not (`conflict` for another content).
struct open_reply {
  std::uint64_t request = 0;
  result<void> outcome = success();
};

enum class batch_reply_kind { batch, none_yet, complete, refused };

/// Answers `poll`.
struct batch_reply {
  std::uint64_t request = 0;
  batch_reply_kind kind = batch_reply_kind::none_yet;
  std::uint64_t n = 0;
  /// Exactly the bytes to send.
  std::string content;
  /// Set when refused.
  error reason;
};

/// Answers `acknowledge`.
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

/// For the event log.
struct step_note {
  step_change change = step_change::opened;
  std::uint64_t n = 0;
};

/// Another holder has taken over, or the record is damaged: drop this ledger. It answers what is
/// waiting with the reason and does nothing else any more.
struct step_stopped {
  error reason;
};

using action = std::variant<store_put, store_get, store_delete, run_sample, open_reply, batch_reply,
                            acknowledge_reply, step_note, step_stopped>;
using actions = std::vector<action>;

struct ledger_options {
  /// A batch is cut when its content reaches this size.
  std::size_t batch_bytes = max_store_value_bytes;
  /// Longest wait of a finished group for others to share its batch. 30 s keep a step of 24
  /// minutes under 50 batches, which keeps 7 trainers under one store write per second.
  duration batch_linger = seconds(30);
  /// Batches after which only full ones are cut, and the last: half of what the record has room
  /// for.
  std::size_t max_small_batches = 128;
  /// Samples of this step that run at a time.
  std::uint32_t max_running = 512;
  /// Delay before a failed sample or a store call with an unknown outcome is tried again; doubles
  /// up to the maximum.
  duration retry_delay = milliseconds(200);
  duration max_retry_delay = seconds(5);
};

/// The state of one trainer step at the holder of shard `trainer/{trainer}`.
///
/// All durable state is the step record and the batch contents. The record is written by
/// compare-and-swap, one write at a time; nothing is told to the trainer before the write that
/// it rests on is known to have taken effect.
class step_ledger {
public:
  /// `token` is the fencing token of the shard's lease. `trainer_version` is the newest version
  /// that the trainer has announced; nothing is delivered against an older one.
  static step_ledger create(std::string trainer, std::uint64_t step, std::uint64_t token,
                            std::uint64_t trainer_version, ledger_options options = {});

  /// A trainer opens the step.
  actions open(time_point now, std::uint64_t request, step_spec spec);
  /// A new holder reads what its predecessor left.
  actions recover(time_point now);
  /// The trainer published a weight version.
  actions announce_version(time_point now, std::uint64_t version);

  actions finish_sample(time_point now, sample_result result);
  actions fail_sample(time_point now, const sample_attempt& attempt);

  /// The trainer asks for the batch after `after` and thereby acknowledges all up to it. Answered
  /// at the latest at the first `tick` at or after `deadline`. `version` is the trainer's own
  /// version if it sent one with the poll; a holder that was paused or is new may not have heard it
  /// otherwise.
  actions poll(time_point now, std::uint64_t request, std::uint64_t after, time_point deadline,
               std::uint64_t version = 0);
  /// The trainer's connection ended; its poll needs no answer.
  void cancel_poll(std::uint64_t request);
  actions acknowledge(time_point now, std::uint64_t request, std::uint64_t n);

  actions finish_write(time_point now, const store_write_result& result);
  actions finish_read(time_point now, const store_read_result& result);

  /// Does what has become due. Call at `next_wakeup` or regularly.
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
  void adopt(time_point now, actions& out, step_record found, std::uint64_t version);
  void adopt_text(time_point now, actions& out, const std::string& text, std::uint64_t version);
  void activate(time_point now, actions& out);
  void answer_opens(actions& out);
  void stop(actions& out, error reason);

  // Writing the record.
  void write_record(actions& out, step_record next);
  void settle_record(time_point now, actions& out);
  void record_refused(time_point now, actions& out, const cas_write& write);
  void record_written(time_point now, actions& out, const cas_write& write);
  void entry_changed(actions& out, const batch_entry& before, const batch_entry& after);

  // What the record should say next.
  [[nodiscard]] step_record derive_next() const;
  void apply_acknowledgements(step_record& next) const;
  void list_pending(step_record& next) const;
  void void_stale(step_record& next) const;
  void mark_head(step_record& next) const;
  void complete_if_done(step_record& next) const;
  [[nodiscard]] bool too_stale(std::uint64_t least_version) const;
  [[nodiscard]] bool may_void(const batch_entry& entry) const;
  [[nodiscard]] bool all_acknowledged() const;

  // Samples and batches.
  void advance(time_point now, actions& out);
  void start_samples(time_point now, actions& out);
  void advance_batch(time_point now, actions& out);
  void write_batch(actions& out);
  [[nodiscard]] bool may_cut_small() const;
  void erase_content(actions& out, std::uint64_t n, std::uint32_t parts);
  void erase_leftovers(actions& out);

  // Delivery.
  void answer_polls(time_point now, actions& out);
  bool answer_poll(time_point now, actions& out, const waiting_poll& it);
  bool deliver(actions& out, std::uint64_t request);
  void answer_acknowledgements(actions& out);
  [[nodiscard]] std::optional<result<void>> acknowledgement_of(std::uint64_t n) const;

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
  std::uint64_t record_read_ = 0;
  std::optional<time_point> record_read_at_;
  backoff record_delay_;

  sample_table samples_;
  batch_builder builder_;
  batch_contents contents_;
  /// The batch whose content is being stored, or is stored and not yet listed.
  std::optional<batch_body> pending_;
  batch_entry pending_entry_;
  std::uint64_t next_number_ = 1;
  /// Batches that this holder marked as delivered and has not sent, so that nobody has.
  std::set<std::uint64_t> unsent_;
  bool leftovers_erased_ = false;

  std::vector<waiting_open> opens_;
  std::vector<waiting_poll> polls_;
  std::vector<waiting_acknowledgement> acknowledgements_;
};

} // namespace boragedoor::ledger
