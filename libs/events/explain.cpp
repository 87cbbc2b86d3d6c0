#include "events/explain.h"

#include <array>
#include <cstdio>
#include <map>

namespace boragedoor::events {

namespace {

using enum event_number;

std::string format_duration(duration it) {
  return std::to_string(to_milliseconds(it)) + " ms";
}

/// Details as "; name=value", so that a reason given by the daemon is not lost.
std::string details_of(const event& it) {
  std::string text;
  for (const auto& [name, value] : it.details.items()) {
    text += "; " + name + '=' + (value.is_string() ? value.get<std::string>() : to_text(value));
  }
  return text;
}

/// Tells the events of one request in their order.
class request_story {
public:
  void tell(const timeline_entry& entry) {
    const event& it = entry.what;
    if (lines_.empty()) {
      first_ = entry.at;
      lines_.push_back("Request " + it.request +
                       (it.workspace.empty() ? "" : " of workspace " + it.workspace) +
                       " first appears on " + it.instance + " at " + format_time(entry.at) + '.');
    }
    tell_event(it, "after " + format_duration(entry.at - first_));
  }

  std::vector<std::string> finish() {
    if (!lines_.empty() && !ended_) {
      lines_.emplace_back("No end is recorded: it still runs, or its instance was lost.");
    }
    return std::move(lines_);
  }

private:
  void tell_event(const event& it, const std::string& when) {
    switch (it.number) {
    case attempt_started:
    case attempt_hedged:
      ++attempts_;
      add((it.number == attempt_hedged ? "Hedged attempt " : "Attempt ") +
          std::to_string(attempts_) + " went to endpoint " + it.endpoint + ' ' + when);
      break;
    case attempt_failed:
      add("The attempt at endpoint " + it.endpoint + " failed " + when + details_of(it));
      break;
    case request_finished:
      end("The whole answer was sent " + when, it);
      break;
    case request_cancelled:
      end("It was cancelled " + when, it);
      break;
    case request_refused:
      end("It was refused " + when, it);
      break;
    case request_quarantined:
      end("It was quarantined " + when, it);
      break;
    case request_accepted:
      add("It was accepted by " + it.instance + ' ' + when);
      break;
    default:
      add(std::string(describe(it.number).name) + " on " + it.instance + ' ' + when +
          details_of(it));
      break;
    }
  }

  void add(const std::string& text) { lines_.push_back(text + '.'); }

  void end(const std::string& text, const event& it) {
    ended_ = true;
    add(text + details_of(it));
  }

  std::vector<std::string> lines_;
  wall_time first_;
  int attempts_ = 0;
  bool ended_ = false;
};

/// Tells how one shard changed hands.
class shard_story {
public:
  void tell(const timeline_entry& entry) {
    switch (entry.what.number) {
    case lease_acquired:
      acquired(entry);
      break;
    case lease_lost:
    case lease_released:
      given_up(entry);
      break;
    case takeover_waiting:
      waiting_since_ = entry.at;
      add(entry, "holds its orders back until the former holder is known to have stopped");
      break;
    case takeover_cleared:
      add(entry,
          "may send orders" + (waiting_since_
                                   ? " after waiting " + format_duration(entry.at - *waiting_since_)
                                   : std::string()));
      waiting_since_.reset();
      break;
    case order_sent:
      order(entry);
      break;
    default:
      break;
    }
  }

  std::vector<std::string> finish() {
    for (const auto& [who, n] : orders_) {
      lines_.push_back(who + " sent " + std::to_string(n) + " order" + (n == 1 ? "." : "s."));
    }
    return std::move(lines_);
  }

private:
  static std::string process_of(const event& it) { return it.instance + '/' + it.boot; }

  void add(const timeline_entry& entry, const std::string& text) {
    lines_.push_back(format_time(entry.at) + ' ' + entry.what.instance + ' ' + text +
                     details_of(entry.what) + '.');
  }

  void acquired(const timeline_entry& entry) {
    std::string text = "acquired the shard";
    if (last_end_) {
      text += ", " + format_duration(entry.at - *last_end_) + " after the former holder's end";
    } else if (!holder_.empty() && holder_ != process_of(entry.what)) {
      text += "; no end of the former holder " + holder_ + " is recorded";
    }
    add(entry, text);
    holder_ = process_of(entry.what);
    last_end_.reset();
  }

  void given_up(const timeline_entry& entry) {
    const bool is_holder = holder_.empty() || holder_ == process_of(entry.what);
    add(entry, entry.what.number == lease_lost ? "lost the lease" : "gave the shard up");
    if (is_holder) {
      last_end_ = entry.at;
    }
  }

  void order(const timeline_entry& entry) {
    const std::string who = process_of(entry.what);
    ++orders_[who];
    if (!holder_.empty() && who != holder_) {
      add(entry, "sent an order although " + holder_ +
                     " had acquired the shard before it in this timeline; check the cause links");
    }
  }

  std::vector<std::string> lines_;
  std::string holder_;
  std::optional<wall_time> last_end_;
  std::optional<wall_time> waiting_since_;
  std::map<std::string, std::uint64_t> orders_;
};

} // namespace

std::vector<std::string> explain_request(const timeline& all, std::string_view request) {
  request_story story;
  for (const auto& it : all.entries) {
    if (it.what.request == request) {
      story.tell(it);
    }
  }
  return story.finish();
}

std::vector<std::string> explain_shard(const timeline& all, std::string_view shard) {
  shard_story story;
  for (const auto& it : all.entries) {
    if (it.what.shard == shard) {
      story.tell(it);
    }
  }
  return story.finish();
}

std::string format_time(wall_time at) {
  using namespace std::chrono;
  const auto day = floor<days>(at);
  const year_month_day date(day);
  const hh_mm_ss time(floor<milliseconds>(at - day));
  constexpr std::size_t room = 40;
  std::array<char, room> buf{};
  std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
                static_cast<int>(time.subseconds().count()));
  return buf.data();
}

} // namespace boragedoor::events
