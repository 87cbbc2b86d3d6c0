#pragma once

#include <cstdint>
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

/// How a run of an item at an endpoint ended.
enum class run_end {
  /// The stream ended after its last event.
  complete,
  /// The stream broke off, or there was no response.
  broken,
  /// The endpoint says that the item did not run.
  not_run,
  /// The endpoint answered that the run failed.
  failed,
  /// The item can never be done.
  impossible,
  /// The endpoint's weights are too old for the job.
  stale_weights,
  /// This instance stopped it, to continue elsewhere.
  moved,
};

enum class reward_end { scored, failed, broken };

struct job_run_options {
  /// Wait after a run that broke off or did not run; doubles with each further one without an event
  /// in between. A request that crashes its endpoints must not take down one after the other.
  duration first_retry = milliseconds(50);
  duration longest_retry = seconds(20);
  /// A run whose events take this many times the median of all runs is moved.
  double slow_factor = 2;
  /// Events that a run needs before its pace is judged.
  int pace_events = 3;
  /// A run is also moved when it has had no event for this many times the median interval, but not
  /// before `least_stall`. An engine that loads weights halts its runs for about a second and one
  /// that died for good, while a text continues elsewhere at the price of reading it in again.
  double stall_factor = 4;
  duration least_stall = milliseconds(150);
  /// Limit while no interval is known. The first event waits for the prompt, which takes a few
  /// milliseconds, and for a place if the engine was full; places become free several times a
  /// second.
  duration first_event_limit = milliseconds(300);
  /// Texts with fewer events are sooner made anew than kept, and texts are kept again once their
  /// job has this many more events.
  std::uint64_t least_kept_events = 20;
  std::uint64_t events_between_keeps = 60;
  /// Finished texts of at least this many events are kept too until they are listed: making one
  /// anew takes longer than a step can wait.
  std::uint64_t least_finished_events = 60;
  listing_schedule_options listing;
};

/// The runs of one batch job. Decides which item starts next and what may be listed; the caller
/// sends requests and keeps results.
class job_run {
public:
  /// `listed` are the results that the store holds, in the order of their positions; `begun` are
  /// texts that another instance had begun.
  job_run(job contents, std::span<const item_result> listed, time_point now,
          std::span<const item_progress> begun = {}, const job_run_options& options = {});

  [[nodiscard]] const job& contents() const { return job_; }
  [[nodiscard]] const job_item& item(std::size_t n) const { return job_.items[n]; }

  /// The next item to start: those of groups that the trainer waits for, the longest first.
  [[nodiscard]] std::optional<std::size_t> next_item(time_point now) const;
  /// Last event that the item has, from which a run continues; nothing for a new text.
  [[nodiscard]] std::optional<std::uint64_t> last_event(std::size_t n) const;
  /// Endpoint that has read the group's prompt; empty if there is none.
  [[nodiscard]] std::string_view group_endpoint(std::size_t n) const;
  /// Endpoints that failed the item's last runs.
  [[nodiscard]] std::span<const std::string> avoided(std::size_t n) const;

  void started(std::size_t n, std::string_view endpoint, time_point now);
  /// Takes the version of the endpoint's weights from the head of its response. False: the version
  /// does not fit the job; end the run with `stale_weights`.
  bool note_version(std::size_t n, std::uint64_t version);
  /// Takes an event. False: it does not follow the text so far; end the run with `broken`.
  bool take_event(std::size_t n, const stream_event& it, time_point now);
  void ended(std::size_t n, run_end how, time_point now);

  /// Items whose text is complete and whose reward call is to be sent now.
  [[nodiscard]] std::optional<std::size_t> next_reward(time_point now) const;
  void reward_started(std::size_t n);
  /// `reward_attempts` are the answers of 500 after which the item may be given up.
  void reward_ended(std::size_t n, reward_end how, std::string score, int reward_attempts,
                    time_point now);

  /// Seconds between the events of the run in progress, once there are enough of them.
  [[nodiscard]] std::optional<double> event_interval(std::size_t n) const { return pace(runs_[n]); }
  /// Runs to stop and start elsewhere, because their endpoint is slow or silent.
  [[nodiscard]] std::vector<std::size_t> slow_runs(time_point now) const;

  /// Runs with at least `events` events since they started, those with the longest texts first: the
  /// longer a text is, the longer it may still become.
  [[nodiscard]] std::vector<std::size_t> long_runs(int events) const;

  /// Gives up what is not finished when the job's time is over.
  void give_up(wall_time now, time_point monotonic);

  /// Whether results should be listed now; `to_due` is the time left until the job's results are
  /// due.
  [[nodiscard]] bool results_due(time_point now, duration to_due) const;
  /// Hands over finished results, at most about `max_bytes` of text; the caller keeps them until
  /// they are stored.
  std::vector<item_result> take_results(std::size_t max_bytes, time_point now);

  /// Texts in the making that are worth keeping, the longest first, up to about `max_bytes`.
  [[nodiscard]] std::vector<item_progress> progress(std::size_t max_bytes) const;
  /// The same, but empty if too little has come since the last call.
  std::vector<item_progress> take_progress(std::size_t max_bytes);

  [[nodiscard]] bool all_finished() const;
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] std::size_t waiting() const;
  [[nodiscard]] std::size_t unfinished() const;

private:
  enum class phase { waiting, running, text_done, scoring, finished, handed_over };

  struct item_run {
    phase at = phase::waiting;
    std::string text;
    bool has_text = false;
    std::optional<std::uint64_t> last_event;
    std::set<std::uint64_t> versions;
    /// Version of the run in progress; 0 until its head has arrived.
    std::uint64_t run_version = 0;
    std::string endpoint;
    std::vector<std::string> avoided;
    time_point not_before{};
    int failures = 0;
    int reward_failures = 0;
    /// Runs without an event since the last one that made progress.
    int barren_runs = 0;
    time_point last_progress{};
    time_point run_started{};
    int run_events = 0;
    item_state outcome = item_state::done;
    std::string score;
    time_point finished_at{};
  };

  void rank_items();
  void finish(std::size_t n, item_state outcome, time_point now);
  void retry_later(item_run& it, std::string_view endpoint, time_point now);
  [[nodiscard]] bool is_worth_keeping(const item_run& it) const;
  [[nodiscard]] std::optional<double> pace(const item_run& it) const;
  /// Median seconds between events over the runs in progress; 0 while none is known.
  [[nodiscard]] double median_pace() const;
  [[nodiscard]] bool is_stalled(const item_run& it, double median, time_point now) const;

  job job_;
  job_run_options options_;
  std::vector<item_run> runs_;
  group_tally groups_;
  listing_schedule listing_;
  /// Items by rank, for `next_item`.
  std::vector<std::size_t> order_;
  std::map<std::string, std::string, std::less<>> group_endpoints_;
  /// Events of all items, and how many there were when texts were last kept.
  std::uint64_t events_ = 0;
  std::uint64_t events_kept_ = 0;
};

} // namespace boragedoor::jobs
