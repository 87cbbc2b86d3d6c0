#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/event_reader.h"
#include "jobs/group_tally.h"
#include "jobs/job.h"
#include "jobs/listing_schedule.h"

namespace boragedoor::jobs {

/// Outcome of a run, which is one attempt to generate an item at an endpoint.
enum class run_outcome {
  /// The stream ended normally after its last event.
  complete,
  /// The stream was interrupted or invalid, or there was no response.
  broken,
  /// The endpoint was not reached, or reported that it did not run the item.
  not_run,
  /// The endpoint reported that the run failed.
  failed,
  /// The item can never be completed: the endpoint reported it, or its request cannot be sent.
  impossible,
  /// The job does not accept the version of the endpoint's weights.
  stale_weights,
  /// This instance cancelled the run to continue the text at another endpoint.
  moved,
};

enum class reward_outcome {
  scored,
  /// The endpoint reported that the call failed.
  failed,
  /// There was no usable response.
  broken,
  /// The endpoint was not reached, or reported that it did not run the call.
  not_run,
  /// The call cannot be sent.
  impossible,
};

/// The endpoint of a run, and its software. Different software generates texts that do not fit
/// together.
struct run_target {
  std::string_view endpoint;
  std::string_view software;
  /// See `routing::endpoint_process::start_ms`.
  std::int64_t process_start_ms = 0;
};

struct job_run_options {
  /// Delay after an unsuccessful run. It doubles with each further one, and is reset by an event.
  /// The same holds for reward calls without a usable response; other ones are repeated after the
  /// initial delay.
  /// It stays short: items never crash endpoints themselves, so one that was hit by many crashes is
  /// still to be placed as soon as an endpoint takes it.
  duration initial_retry_delay = milliseconds(50);
  duration max_retry_delay = seconds(1);
  /// A text waits for a free slot at endpoints with its software at most as long as other software
  /// would need to generate it again: this time for each of its events.
  duration continuation_wait_per_event = milliseconds(20);
  duration continuation_retry_delay = milliseconds(50);
  /// A text that is longer than this is not one: the store takes values of one MiB, which hold a
  /// result with the other fields.
  std::size_t max_text_bytes = 768UL * 1024;
  /// A run is moved if its mean event interval exceeds the median of all runs by this factor.
  double slow_factor = 2;
  /// Events that a run needs before its mean event interval is used.
  int min_events_for_interval = 3;
  /// A run is also moved if it has had no event for this many times the median interval, but not
  /// before `min_stall_timeout`. An endpoint that loads weights pauses its runs for about a second,
  /// and a crashed one never resumes them. Continuing a text elsewhere costs only a prefill of the
  /// text.
  double stall_factor = 4;
  duration min_stall_timeout = milliseconds(150);
  /// Timeout for runs without an event, and while no median interval is known. The first event
  /// waits for the prefill of the prompt, which takes a few milliseconds, and for a free slot if
  /// the endpoint is full; slots become free several times a second.
  duration first_event_timeout = milliseconds(300);
  /// Partial texts with fewer events are not saved, because regenerating them is faster. Texts are
  /// saved again once the job has `events_between_saves` more events.
  std::uint64_t min_saved_events = 20;
  std::uint64_t events_between_saves = 60;
  /// Complete texts of at least this many events are also saved until they are listed, because
  /// regenerating one takes longer than a step can wait.
  std::uint64_t min_saved_complete_events = 60;
  listing_schedule_options listing;
};

/// State of one batch job. Decides which item runs next and which results may be listed; the caller
/// sends the requests and stores the results.
class job_run {
public:
  /// `listed` are the results that are already in the store, in order of position.
  /// `initial_progress` are partial texts from an earlier run of the job or an earlier job; those
  /// of unknown software are ignored. Of several texts of an item the longest is kept. `carried`
  /// are items that an earlier step left unfinished: the trainer waits for their groups.
  job_run(job contents, std::span<const item_result> listed, time_point now,
          std::span<const item_progress> initial_progress = {}, const job_run_options& options = {},
          std::span<const std::size_t> carried = {});

  [[nodiscard]] const job& contents() const { return job_; }
  [[nodiscard]] const job_item& item(std::size_t n) const { return job_.items[n]; }

  /// The next item to start. Items of groups that the trainer waits for come first; among them, the
  /// items with the longest expected texts.
  [[nodiscard]] std::optional<std::size_t> next_item(time_point now) const;
  /// Id of the item's last event, after which a run continues; nullopt for a new text.
  [[nodiscard]] std::optional<std::uint64_t> last_event(std::size_t n) const;
  /// Software that must continue the item's text; empty if there is no text yet.
  [[nodiscard]] std::string_view software(std::size_t n) const { return items_[n].software; }
  /// Process that generated the last part of the item's text, if it is not certain that it ran
  /// `software`. Such a text must not be continued.
  [[nodiscard]] const std::optional<routing::endpoint_process>&
  unverified_source(std::size_t n) const {
    return items_[n].unverified;
  }
  /// Records that the text comes from `software`.
  void confirm_text(std::size_t n) { items_[n].unverified.reset(); }
  /// Discards the text because it may come from other software.
  void refute_text(std::size_t n, time_point now);
  /// Keeps the item from being started before a time.
  void hold(std::size_t n, time_point until) { items_[n].not_before = until; }
  /// Records that no endpoint can continue the item's text now. Discards the text if none is `left`
  /// that could, or if it has waited as long as generating it again takes; otherwise the item is
  /// tried again later. Returns whether the text was discarded.
  bool postpone(std::size_t n, bool left, time_point now);
  /// Endpoint that has already processed the group's prompt; empty if there is none.
  [[nodiscard]] std::string_view group_endpoint(std::size_t n) const;
  /// Endpoints to avoid, because the item's last runs there were unsuccessful.
  [[nodiscard]] std::span<const std::string> avoided_endpoints(std::size_t n) const;

  void started(std::size_t n, const run_target& target, time_point now);
  /// Records that the process of the run in progress runs the software of its target.
  void confirm_run(std::size_t n) {
    items_[n].run_verified = true;
    items_[n].unverified.reset();
  }
  /// Sets the weight version of the run in progress, as reported by the endpoint. Returns false if
  /// the job does not accept the version; the caller must then end the run with `stale_weights`.
  bool accept_version(std::size_t n, std::uint64_t version);
  /// Appends an event to the item's text. Returns false if the event does not directly follow the
  /// last one or comes from other software; the caller must then end the run with `broken`.
  bool append_event(std::size_t n, const stream_event& event, time_point now);
  void ended(std::size_t n, run_outcome outcome, time_point now);

  /// The next item whose text is complete and whose reward call is to be sent now.
  [[nodiscard]] std::optional<std::size_t> next_reward(time_point now) const;
  void reward_started(std::size_t n);
  /// `reward_attempts` is the number of HTTP 500 responses to the reward call after which the item
  /// is terminated.
  void reward_ended(std::size_t n, reward_outcome outcome, std::string score, int reward_attempts,
                    time_point now);

  /// Mean seconds between the events of the run in progress; nullopt with too few events.
  [[nodiscard]] std::optional<double> event_interval(std::size_t n) const {
    return mean_interval(items_[n]);
  }
  /// Runs to move to another endpoint, because theirs is slow or has stalled.
  [[nodiscard]] std::vector<std::size_t> slow_runs(time_point now) const;

  /// Items whose run in progress has at least `min_events` events, those with the longest texts
  /// first, because they are likely to have the most left to generate.
  [[nodiscard]] std::vector<std::size_t> runs_with_events(int min_events) const;

  /// Terminates all unfinished items if the job's `give_up` time has passed.
  void terminate_expired(wall_time wall, time_point now);

  /// Whether results should be listed now. `time_to_due` is the time left until the job's results
  /// are due.
  [[nodiscard]] bool results_due(time_point now, duration time_to_due) const;
  /// Whether results that are not listed yet will be within `limit`, because the step is due.
  [[nodiscard]] bool listing_expected(duration limit, duration time_to_due) const;
  /// Moves out finished results, up to `max_bytes` of text but at least one. The caller must keep
  /// them until they are stored.
  std::vector<item_result> take_results(std::size_t max_bytes, time_point now);

  /// Texts that are worth saving and are not listed yet, the longest first, up to `max_bytes`.
  [[nodiscard]] std::vector<item_progress> progress(std::size_t max_bytes) const;
  /// Finds the result of an item that is listed; nullptr if it is no longer kept.
  using result_finder = std::function<const item_result*(std::string_view item)>;
  /// Texts of the groups that the trainer has not got: those that were incomplete when the step was
  /// first complete, or that are now if it never was. The trainer may submit these groups again in
  /// a later step, also the items that were listed meanwhile. The longest first, up to `max_bytes`.
  [[nodiscard]] std::vector<item_progress> texts_for_next_step(std::size_t max_bytes,
                                                               const result_finder& listed) const;
  /// Like `progress`, but empty if fewer than `events_between_saves` events have been added since
  /// texts were last saved.
  std::vector<item_progress> take_new_progress(std::size_t max_bytes);

  [[nodiscard]] bool all_finished() const;
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] std::size_t waiting() const;
  /// Number of items whose text is complete and whose reward call was not sent.
  [[nodiscard]] std::size_t waiting_rewards() const;
  [[nodiscard]] std::size_t unfinished() const;

private:
  enum class phase { waiting, running, text_complete, scoring, finished, taken };

  struct tracked_item {
    phase current_phase = phase::waiting;
    std::string text;
    bool has_text = false;
    std::optional<std::uint64_t> last_event;
    std::set<std::uint64_t> versions;
    /// Software that generated the text, and that of the run in progress.
    std::string software;
    std::string run_software;
    /// See `unverified_source`, and the start of the process of the run in progress.
    std::optional<routing::endpoint_process> unverified;
    std::int64_t run_process_start_ms = 0;
    bool run_verified = false;
    /// When the text first could not be continued since the last run.
    std::optional<time_point> waiting_since;
    /// Weight version of the run in progress; 0 until the response headers have arrived.
    std::uint64_t run_version = 0;
    std::string endpoint;
    std::vector<std::string> avoided_endpoints;
    time_point not_before{};
    int failures = 0;
    int reward_failures = 0;
    /// Reward calls without a usable response.
    int broken_rewards = 0;
    /// Consecutive unsuccessful runs since the last event.
    int runs_without_events = 0;
    time_point last_activity{};
    time_point run_started{};
    int run_events = 0;
    item_state outcome = item_state::done;
    std::string score;
    time_point finished_at{};
  };

  void rank_items();
  [[nodiscard]] step_progress current_progress() const;
  /// By item: whether its group is incomplete.
  [[nodiscard]] std::vector<bool> items_of_incomplete_groups() const;
  struct saved_text {
    std::size_t item = 0;
    const std::string* text = nullptr;
  };
  /// The longest texts first, up to `max_bytes`.
  [[nodiscard]] std::vector<item_progress> to_progress(std::vector<saved_text> texts,
                                                       std::size_t max_bytes) const;
  static void discard_text(tracked_item& it);
  void finish(std::size_t n, item_state outcome, time_point now);
  /// Delay after an unsuccessful run or reward call that followed other ones.
  [[nodiscard]] duration retry_delay(int earlier_failures) const;
  void schedule_retry(tracked_item& it, std::string_view endpoint, time_point now);
  [[nodiscard]] bool is_worth_saving(const tracked_item& it) const;
  [[nodiscard]] std::optional<double> mean_interval(const tracked_item& it) const;
  /// Median over the runs in progress of their mean event interval, in seconds; 0 if none is known.
  [[nodiscard]] double median_interval() const;
  [[nodiscard]] bool is_stalled(const tracked_item& it, double median, time_point now) const;

  job job_;
  job_run_options options_;
  std::vector<tracked_item> items_;
  group_tally groups_;
  listing_schedule listing_;
  /// By item: whether its group was incomplete when results were first listed of the complete step.
  std::optional<std::vector<bool>> left_items_;
  /// Item indexes in the order in which `next_item` starts them.
  std::vector<std::size_t> order_;
  std::map<std::string, std::string, std::less<>> group_endpoints_;
  /// Events of all items so far, and their number when texts were last saved.
  std::uint64_t events_ = 0;
  std::uint64_t events_saved_ = 0;
};

} // namespace boragedoor::jobs
