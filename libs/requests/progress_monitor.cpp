#include "requests/progress_monitor.h"

namespace boragedoor::requests {

void progress_monitor::begin(time_point now, std::string attempt, std::uint64_t connection,
                             duration first_byte_timeout, duration next_byte_timeout) {
  idle_.erase(connection);
  attempts_[std::move(attempt)] = {connection, next_byte_timeout, now + first_byte_timeout};
}

void progress_monitor::progress(time_point now, const std::string& attempt) {
  if (const auto it = attempts_.find(attempt); it != attempts_.end()) {
    it->second.deadline = now + it->second.next_byte_timeout;
  }
}

void progress_monitor::finish(time_point now, const std::string& attempt) {
  if (const auto it = attempts_.find(attempt); it != attempts_.end()) {
    add_idle(now, it->second.connection);
    attempts_.erase(it);
  }
}

void progress_monitor::add_idle(time_point now, std::uint64_t connection) {
  idle_[connection] = {false, now + options_.probe_interval};
}

void progress_monitor::probe_answered(time_point now, std::uint64_t connection) {
  if (const auto it = idle_.find(connection); it != idle_.end()) {
    it->second = {false, now + options_.probe_interval};
  }
}

void progress_monitor::remove_connection(std::uint64_t connection) {
  idle_.erase(connection);
  std::erase_if(attempts_,
                [connection](const auto& it) { return it.second.connection == connection; });
}

progress_actions progress_monitor::tick(time_point now) {
  progress_actions actions;
  std::erase_if(attempts_, [&](const auto& it) {
    const bool expired = now >= it.second.deadline;
    if (expired) {
      actions.emplace_back(attempt_timed_out{it.first, it.second.connection});
    }
    return expired;
  });
  for (auto each = idle_.begin(); each != idle_.end();) {
    auto& [connection, it] = *each;
    if (now < it.due) {
      ++each;
    } else if (it.probe_outstanding) {
      actions.emplace_back(close_unresponsive{connection});
      each = idle_.erase(each);
    } else {
      actions.emplace_back(send_probe{connection});
      it = {true, now + options_.probe_timeout};
      ++each;
    }
  }
  return actions;
}

std::optional<time_point> progress_monitor::next_wakeup() const {
  std::optional<time_point> due;
  const auto consider = [&due](time_point it) {
    if (!due || it < *due) {
      due = it;
    }
  };
  for (const auto& [attempt, it] : attempts_) {
    consider(it.deadline);
  }
  for (const auto& [connection, it] : idle_) {
    consider(it.due);
  }
  return due;
}

bool progress_monitor::is_usable(std::uint64_t connection) const {
  const auto it = idle_.find(connection);
  return it != idle_.end() && !it->second.probe_outstanding;
}

} // namespace boragedoor::requests
