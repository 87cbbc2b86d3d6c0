#include "dispatch/crash_checks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragedoor::dispatch {

bool crash_checks::process_check::needs_check() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const attempt_state& it) { return it.needs_check(); });
}

void crash_checks::add(broken_attempt attempt, const net::address& endpoint, time_point now) {
  process_check& check = checks_[attempt.process];
  check.address = endpoint;
  check.due_at = now;
  check.attempts.push_back({.attempt = std::move(attempt), .added_at = now});
}

std::vector<crash_checks::due_check> crash_checks::take_due(time_point now) {
  std::vector<due_check> due;
  for (auto& [process, check] : checks_) {
    if (!check.in_progress && check.due_at <= now && check.needs_check()) {
      check.in_progress = true;
      check.started_at = now;
      due.push_back({process, check.address});
    }
  }
  return due;
}

std::vector<broken_attempt> crash_checks::note_checked(const routing::endpoint_process& process,
                                                       connection_check state, time_point now,
                                                       wall_time wall) {
  const auto found = checks_.find(process);
  if (found == checks_.end()) {
    return {};
  }
  process_check& check = found->second;
  check.in_progress = false;
  check.due_at = now + options_.check_interval;
  if (state == connection_check::unconnected) {
    return take(process, [](const attempt_state& it) { return it.needs_check(); });
  }
  for (attempt_state& it : check.attempts) {
    if (!it.needs_check()) {
      continue;
    }
    if (state == connection_check::unknown) {
      it.unknown = true;
    } else if (it.added_at <= check.started_at) {
      it.unknown = false;
      it.connected_at = now;
      it.connected_wall = wall;
    } else {
      // The process may have ended after it took the connection.
      check.due_at = now;
    }
  }
  return {};
}

std::vector<broken_attempt>
crash_checks::note_registry(std::span<const registered_process> registered) {
  struct place {
    bool is_registered = false;
    /// Start of the first process that runs in the place of this one.
    std::optional<std::int64_t> next_start;
  };
  std::map<routing::endpoint_process, place> places;
  std::multimap<net::address, routing::endpoint_process> by_address;
  std::multimap<std::string_view, routing::endpoint_process> by_id;
  for (const auto& [process, check] : checks_) {
    places.try_emplace(process);
    by_address.emplace(check.address, process);
    by_id.emplace(process.endpoint, process);
  }
  for (const registered_process& it : registered) {
    const auto compare = [&](const routing::endpoint_process& process) {
      place& found = places[process];
      found.is_registered = found.is_registered || it.process == process;
      const std::int64_t start = it.process.start_ms;
      if (start > process.start_ms) {
        found.next_start = std::min(found.next_start.value_or(start), start);
      }
    };
    const auto [address_begin, address_end] = by_address.equal_range(it.address);
    std::for_each(address_begin, address_end, [&](const auto& at) { compare(at.second); });
    const auto [id_begin, id_end] = by_id.equal_range(it.process.endpoint);
    std::for_each(id_begin, id_end, [&](const auto& at) { compare(at.second); });
  }
  std::vector<broken_attempt> ended;
  for (const auto& [process, found] : places) {
    auto taken = take(process, [&next = found.next_start,
                                is_registered = found.is_registered](const attempt_state& it) {
      if (it.connected_wall) {
        return next && wall_time(milliseconds(*next)) <= *it.connected_wall;
      }
      return it.unknown && (next || !is_registered);
    });
    std::move(taken.begin(), taken.end(), std::back_inserter(ended));
  }
  return ended;
}

template <class Predicate>
std::vector<broken_attempt> crash_checks::take(const routing::endpoint_process& process,
                                               Predicate&& selects) {
  std::vector<broken_attempt> taken;
  std::erase_if(checks_.at(process).attempts, [&](attempt_state& it) {
    const bool selected = selects(std::as_const(it));
    if (selected) {
      taken.push_back(std::move(it.attempt));
    }
    return selected;
  });
  if (checks_.at(process).attempts.empty()) {
    checks_.erase(process);
  }
  return taken;
}

std::vector<broken_attempt> crash_checks::expire(time_point now) {
  std::vector<time_point> times;
  for (const auto& [process, check] : checks_) {
    for (const attempt_state& it : check.attempts) {
      times.push_back(it.added_at);
    }
  }
  time_point oldest_kept = now - options_.retention;
  if (times.size() > options_.capacity) {
    const auto first_kept =
        times.end() - static_cast<std::ptrdiff_t>(std::max<std::size_t>(options_.capacity, 1));
    std::nth_element(times.begin(), first_kept, times.end());
    oldest_kept = std::max(oldest_kept, *first_kept);
  }
  std::vector<broken_attempt> given_up;
  for (auto& [process, check] : checks_) {
    std::erase_if(check.attempts, [&](attempt_state& it) {
      if (it.connected_wall && now - it.connected_at > options_.registry_delay) {
        return true;
      }
      if (it.added_at >= oldest_kept) {
        return false;
      }
      given_up.push_back(std::move(it.attempt));
      return true;
    });
  }
  std::erase_if(checks_, [](const auto& it) { return it.second.attempts.empty(); });
  return given_up;
}

void crash_checks::forget(std::string_view fingerprint) {
  for (auto& [process, check] : checks_) {
    std::erase_if(check.attempts,
                  [&](const attempt_state& it) { return it.attempt.fingerprint == fingerprint; });
  }
  std::erase_if(checks_, [](const auto& it) { return it.second.attempts.empty(); });
}

std::set<routing::endpoint_process> crash_checks::unconfirmed(std::string_view fingerprint) const {
  std::set<routing::endpoint_process> processes;
  for (const auto& [process, check] : checks_) {
    for (const attempt_state& it : check.attempts) {
      if (it.unknown && it.attempt.fingerprint == fingerprint) {
        processes.insert(process);
      }
    }
  }
  return processes;
}

} // namespace boragedoor::dispatch
