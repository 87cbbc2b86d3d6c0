#include "requests/progress_monitor.h"

namespace boragedoor::requests {

void progress_monitor::begin(time_point now, std::string attempt, std::uint64_t connection,
                             duration first, duration next) {
  idle_.erase(connection);
  attempts_[std::move(attempt)] = {connection, next, now + first};
}

void progress_monitor::progress(time_point now, const std::string& attempt) {
  if (const auto it = attempts_.find(attempt); it != attempts_.end()) {
    it->second.deadline = now + it->second.next;
  }
}

void progress_monitor::finish(time_point now, const std::string& attempt) {
  if (const auto it = attempts_.find(attempt); it != attempts_.end()) {
    idle(now, it->second.connection);
    attempts_.erase(it);
  }
}

void progress_monitor::idle(time_point now, std::uint64_t connection) {
  idle_[connection] = {false, now + options_.probe_interval};
}

void progress_monitor::probe_answered(time_point now, std::uint64_t connection) {
  if (const auto it = idle_.find(connection); it != idle_.end()) {
    it->second = {false, now + options_.probe_interval};
  }
}

void progress_monitor::forget(std::uint64_t connection) {
  idle_.erase(connection);
  std::erase_if(attempts_,
                [connection](const auto& it) { return it.second.connection == connection; });
}

progress_actions progress_monitor::tick(time_point now) {
  progress_actions out;
  std::erase_if(attempts_, [&](const auto& it) {
    const bool expired = now >= it.second.deadline;
    if (expired) {
      out.emplace_back(progress_expired{it.first, it.second.connection});
    }
    return expired;
  });
  for (auto each = idle_.begin(); each != idle_.end();) {
    auto& [connection, it] = *each;
    if (now < it.at) {
      ++each;
    } else if (it.probing) {
      out.emplace_back(close_silent{connection});
      each = idle_.erase(each);
    } else {
      out.emplace_back(send_probe{connection});
      it = {true, now + options_.probe_timeout};
      ++each;
    }
  }
  return out;
}

std::optional<time_point> progress_monitor::next_wakeup() const {
  std::optional<time_point> at;
  const auto consider = [&at](time_point it) {
    if (!at || it < *at) {
      at = it;
    }
  };
  for (const auto& [attempt, it] : attempts_) {
    consider(it.deadline);
  }
  for (const auto& [connection, it] : idle_) {
    consider(it.at);
  }
  return at;
}

bool progress_monitor::usable(std::uint64_t connection) const {
  const auto it = idle_.find(connection);
  return it != idle_.end() && !it->second.probing;
}

} // namespace boragedoor::requests
