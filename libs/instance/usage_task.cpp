#include "instance/usage_task.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace boragedoor::instance {

namespace {

constexpr duration tick_interval = milliseconds(500);
/// Time after the end of a window in which instances write their counts to the store. The report is
/// due ten seconds after the end of the window.
constexpr duration collection_grace_period = milliseconds(3500);
/// How far back a new lease holder looks for unreported windows. Older ones are past their due
/// time.
constexpr duration catch_up_period = seconds(15);

std::string counts_prefix(std::uint64_t window) {
  return fmt::format("boragedoor/usage/{}/", window);
}

std::string frozen_counts_key(std::uint64_t window) {
  return fmt::format("boragedoor/usage-frozen/{}", window);
}

} // namespace

usage_task::usage_task(instance_context& context, member_task& members, duty_intake& intake,
                       duration window_length)
    : context_(context), members_(members), intake_(intake), tally_(window_length),
      timer_(context.loop, [this] { tick(); }) {}

void usage_task::start() {
  timer_.start_periodic(tick_interval);
}

void usage_task::count(const std::string& workspace) {
  tally_.count(workspace, context_.stable_wall_now());
}

void usage_task::flush_all() {
  for (const std::uint64_t window :
       tally_.ended_windows(context_.stable_wall_now() + tally_.window_length())) {
    flush(window);
  }
}

void usage_task::tick() {
  for (const std::uint64_t window : tally_.ended_windows(context_.stable_wall_now())) {
    flush(window);
  }
  if (!members_.permit(context_.loop.now())) {
    last_reported_window_.reset();
    return;
  }
  if (report_in_progress_) {
    return;
  }
  const duration length = tally_.window_length();
  if (!last_reported_window_) {
    last_reported_window_ =
        duties::window_of(context_.stable_wall_now() - catch_up_period, length) - 1;
  }
  const std::uint64_t next = *last_reported_window_ + 1;
  if (duties::end_of_window(next, length) + collection_grace_period <= context_.stable_wall_now()) {
    report_window(next);
  }
}

void usage_task::flush(std::uint64_t window) {
  if (!flushing_.insert(window).second) {
    return;
  }
  ++pending_flushes_;
  const std::string key = counts_prefix(window) + context_.identity.member_id();
  store_change change;
  change.expected = {{key, 0}};
  change.puts = {{key, duties::to_document(tally_.counts(window)), 0}};
  context_.store.commit(change, [this, window](const commit_answer& answer) {
    --pending_flushes_;
    flushing_.erase(window);
    // A conflict means that an earlier commit succeeded but its response was lost.
    if (answer.status == store_status::ok || answer.status == store_status::conflict) {
      tally_.erase_window(window);
    }
  });
}

void usage_task::report_window(std::uint64_t window) {
  report_in_progress_ = true;
  context_.store.read(frozen_counts_key(window), [this, window](const read_answer& frozen) {
    if (frozen.status == store_status::ok) {
      const auto counts = duties::usage_counts_from_document(frozen.item.value);
      if (counts) {
        send_report(window, counts.value());
      } else {
        context_.record(events::event_number::store_document_damaged, {}, {},
                        {{"key", frozen.item.key}, {"reason", counts.error().message}});
        last_reported_window_ = window;
        end_report();
      }
      return;
    }
    if (frozen.status != store_status::missing) {
      end_report();
      return;
    }
    context_.store.list(counts_prefix(window), {}, [this, window](const list_answer& page) {
      if (page.status != store_status::ok) {
        end_report();
        return;
      }
      duties::usage_counts total;
      for (const stored_item& it : page.items) {
        const auto counts = duties::usage_counts_from_document(it.value);
        if (counts) {
          duties::add(total, counts.value());
        } else {
          context_.record(events::event_number::store_document_damaged, {}, {},
                          {{"key", it.key}, {"reason", counts.error().message}});
        }
      }
      freeze_window(window, total);
    });
  });
}

void usage_task::freeze_window(std::uint64_t window, const duties::usage_counts& counts) {
  // Frozen counts never change, so that repeated reports and reports of other holders agree.
  store_change change;
  change.expected = {{frozen_counts_key(window), 0}};
  change.puts = {{frozen_counts_key(window), duties::to_document(counts), 0}};
  context_.store.commit(change, [this, window, counts](const commit_answer& answer) {
    if (answer.status == store_status::ok) {
      context_.record(events::event_number::usage_window_frozen, {}, {}, {{"window", window}});
      send_report(window, counts);
      return;
    }
    // Another holder froze the window, or the outcome is unknown. The next tick reads it back.
    end_report();
  });
}

void usage_task::send_report(std::uint64_t window, const duties::usage_counts& counts) {
  const auto holder = members_.permit(context_.loop.now());
  if (!holder) {
    end_report();
    return;
  }
  const std::uint64_t token = holder->fencing_token;
  intake_.report_usage(window, counts, *holder, [this, window, token](intake_result result) {
    context_.record(events::event_number::usage_window_reported, {}, {},
                    {{"window", window},
                     {"fencing_token", token},
                     {"accepted", result == intake_result::accepted}});
    if (result == intake_result::accepted) {
      last_reported_window_ = window;
    } else if (result == intake_result::superseded) {
      members_.reject_token(token);
    }
    end_report();
  });
}

void usage_task::end_report() {
  report_in_progress_ = false;
}

} // namespace boragedoor::instance
