#include "instance/usage_task.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace boragedoor::instance {

namespace {

constexpr duration tick_interval = milliseconds(500);
/// Instances hand their counts over within this time after a window; a report is due ten seconds
/// after it.
constexpr duration collection_time = milliseconds(3500);
/// How far back a new holder looks for windows that were not reported. Older ones are overdue.
constexpr duration catch_up_time = seconds(15);

std::string counts_prefix(std::uint64_t window) {
  return fmt::format("boragedoor/usage/{}/", window);
}

std::string frozen_key(std::uint64_t window) {
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
  tally_.count(workspace, wall_now());
}

void usage_task::flush_all() {
  // Counts of the window in progress are handed over as they are; the process takes no more.
  for (const std::uint64_t window : tally_.ended_windows(wall_now() + tally_.window_length())) {
    flush(window);
  }
}

void usage_task::tick() {
  for (const std::uint64_t window : tally_.ended_windows(wall_now())) {
    flush(window);
  }
  if (!members_.permit(context_.loop.now())) {
    reported_.reset();
    return;
  }
  if (reporting_) {
    return;
  }
  const duration length = tally_.window_length();
  if (!reported_) {
    reported_ = duties::window_of(wall_now() - catch_up_time, length) - 1;
  }
  const std::uint64_t next = *reported_ + 1;
  if (duties::end_of_window(next, length) + collection_time <= wall_now()) {
    report_next(next);
  }
}

void usage_task::flush(std::uint64_t window) {
  if (!flushing_.insert(window).second) {
    return;
  }
  ++open_flushes_;
  const std::string key = counts_prefix(window) + context_.identity.member_id();
  store_change change;
  change.expected = {{key, 0}};
  change.puts = {{key, duties::to_document(tally_.counts(window)), 0}};
  context_.store.commit(change, [this, window](const commit_answer& out) {
    --open_flushes_;
    flushing_.erase(window);
    // A conflict means that an earlier call took effect without an answer.
    if (out.status == store_status::ok || out.status == store_status::conflict) {
      tally_.erase_window(window);
    }
  });
}

void usage_task::report_next(std::uint64_t window) {
  reporting_ = true;
  context_.store.read(frozen_key(window), [this, window](const read_answer& frozen) {
    if (frozen.status == store_status::ok) {
      const auto counts = duties::usage_counts_from_document(frozen.item.value);
      if (counts) {
        send(window, counts.value());
      } else {
        context_.record(events::event_number::store_document_damaged, {}, {},
                        {{"key", frozen.item.key}, {"reason", counts.error().message}});
        reported_ = window;
        end_step();
      }
      return;
    }
    if (frozen.status != store_status::missing) {
      end_step();
      return;
    }
    context_.store.list(counts_prefix(window), {}, [this, window](const list_answer& page) {
      if (page.status != store_status::ok) {
        end_step();
        return;
      }
      duties::usage_counts sum;
      for (const stored_item& it : page.items) {
        const auto counts = duties::usage_counts_from_document(it.value);
        if (counts) {
          duties::add(sum, counts.value());
        } else {
          context_.record(events::event_number::store_document_damaged, {}, {},
                          {{"key", it.key}, {"reason", counts.error().message}});
        }
      }
      freeze(window, sum);
    });
  });
}

void usage_task::freeze(std::uint64_t window, const duties::usage_counts& counts) {
  // Once frozen the figures never change, whoever reports them and how often.
  store_change change;
  change.expected = {{frozen_key(window), 0}};
  change.puts = {{frozen_key(window), duties::to_document(counts), 0}};
  context_.store.commit(change, [this, window, counts](const commit_answer& out) {
    if (out.status == store_status::ok) {
      context_.record(events::event_number::usage_window_frozen, {}, {}, {{"window", window}});
      send(window, counts);
      return;
    }
    // Another holder froze it, or the outcome is not known: the next step reads it back.
    end_step();
  });
}

void usage_task::send(std::uint64_t window, const duties::usage_counts& counts) {
  const auto permit = members_.permit(context_.loop.now());
  if (!permit) {
    end_step();
    return;
  }
  const duty_holder by{context_.identity.name, permit->fencing_token};
  intake_.report_usage(window, counts, by, [this, window, by](intake_answer answer) {
    context_.record(events::event_number::usage_window_reported, {}, {},
                    {{"window", window},
                     {"fencing_token", by.fencing_token},
                     {"accepted", answer == intake_answer::accepted}});
    if (answer == intake_answer::accepted) {
      reported_ = window;
    } else if (answer == intake_answer::superseded) {
      members_.reject_token(by.fencing_token);
    }
    end_step();
  });
}

void usage_task::end_step() {
  reporting_ = false;
}

} // namespace boragedoor::instance
