#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/cas_write.h"
#include "base/result.h"
#include "base/store_action.h"
#include "base/time.h"
#include "usage/usage_documents.h"

namespace boragedoor::usage {

/// Send the report to the intake; its end comes back through `finish_report`.
struct send_report {
  std::string report_id;
  std::uint64_t window = 0;
  std::string body;
};

/// `damaged`: a document in the store cannot be read. A damaged checkpoint is replaced; a damaged
/// frozen window has to be repaired by an operator.
enum class window_change { frozen, reported, readback, damaged };

/// For the event log.
struct window_note {
  window_change change = window_change::frozen;
  std::uint64_t window = 0;
};

/// Another holder has taken over: drop this object.
struct window_stopped {
  error reason;
};

using action = std::variant<store_put, store_get, store_delete, usage_flush_merged,
                            usage_window_frozen, send_report, window_note, window_stopped>;
using actions = std::vector<action>;

struct window_options {
  /// From the configuration.
  duration window_length = seconds(60);
  /// Wait after the end of a window for the last flushes; several flush intervals of 1 s.
  duration grace = seconds(5);
  /// Wait of a new holder before it freezes anything, so that instances can send their counters
  /// again. Figures that come later are not lost, only late.
  duration takeover_wait = seconds(3);
  duration checkpoint_interval = seconds(5);
  /// Delay before a report without an answer is repeated; doubles up to the maximum.
  duration report_retry = seconds(1);
  duration max_report_retry = seconds(30);
};

/// The open windows of one usage shard, at the holder of `usage/{n}`.
class usage_window {
public:
  static usage_window create(std::uint32_t shard, std::uint64_t token, window_options options = {});

  /// Reads the checkpoint. Flushes that arrive before it is read are merged all the same.
  actions start(time_point now);

  actions flush(time_point now, const usage_flush& it);
  actions finish_write(time_point now, const store_write_result& result);
  actions finish_read(time_point now, const store_read_result& result);
  /// The intake confirmed a report, or the answer is unknown.
  actions finish_report(time_point now, const std::string& report_id, bool confirmed);

  /// Freezes, checkpoints and reports what is due. `may_report`: this process holds the lease and
  /// takeover is cleared. Call it about every second.
  actions tick(time_point now, wall_time wall, bool may_report);

  /// Whether the checkpoint is written and nothing has changed since; a holder that hands over
  /// waits for this.
  [[nodiscard]] bool checkpointed() const;
  [[nodiscard]] bool stopped() const { return stopped_; }
  [[nodiscard]] const usage_checkpoint& state() const { return state_; }
  [[nodiscard]] const store_call_counts& calls() const { return caller_.counts(); }

private:
  struct report_state {
    /// Read from the store if this holder did not freeze the window.
    std::optional<frozen_window> document;
    std::uint64_t read_call = 0;
    bool outstanding = false;
    time_point next_at{};
    backoff delay;
  };

  usage_window(std::uint32_t shard, std::uint64_t token, window_options options);

  void read_checkpoint(actions& out);
  void checkpoint_found(time_point now, actions& out, const store_read_result& result);
  void merge_checkpoint(actions& out, const std::string& text);
  void claim(time_point now, actions& out);
  void write_checkpoint(time_point now, actions& out);
  void settle_checkpoint(actions& out);
  void settle_freezes(actions& out);
  void stop(actions& out);

  void merge_window(actions& out, const usage_flush& it, std::uint64_t window,
                    const usage_table& table);
  void freeze_due(time_point now, wall_time wall, actions& out);
  void adopt_frozen(actions& out, const std::string& text, std::uint64_t window);
  void tell_sources(actions& out, const frozen_window& it, const window_counters& also);
  report_state& add_report(std::uint64_t window);
  void report_due(time_point now, actions& out);
  bool report_read(time_point now, actions& out, const store_read_result& result);
  template <class Result>
  void finish_call(time_point now, actions& out, const Result& result);

  std::uint32_t shard_;
  std::uint64_t token_;
  window_options options_;
  store_caller caller_;
  bool stopped_ = false;
  usage_checkpoint state_;

  // The checkpoint.
  std::uint64_t checkpoint_version_ = 0;
  std::uint64_t checkpoint_read_ = 0;
  std::optional<time_point> read_again_at_;
  backoff read_delay_;
  std::optional<cas_write> checkpoint_write_;
  /// Open windows in the checkpoint that is being written, and in the last one that was.
  std::set<std::uint64_t> written_windows_;
  std::set<std::uint64_t> durable_windows_;
  bool claimed_ = false;
  bool changed_ = false;
  time_point started_{};
  time_point next_checkpoint_{};

  std::map<std::uint64_t, cas_write> freezes_;
  /// The newest frozen windows, to answer late flushes without a read.
  std::map<std::uint64_t, frozen_window> frozen_;
  std::map<std::uint64_t, report_state> reports_;
};

} // namespace boragedoor::usage
