#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "instance/durable_store.h"

namespace boragedoor::instance {

/// When a call to the store was sent and answered. `wait` is how long the store kept it if there
/// was nothing to report.
struct call_times {
  time_point sent_at;
  duration wait{};
  time_point answered_at;
  /// Age of the copy from which another instance answered in place of the store.
  duration age{};

  /// A time at which the answer was true: the store did not write it before.
  [[nodiscard]] time_point confirmed_at() const {
    return std::min(answered_at, sent_at + wait) - age;
  }
};

/// Holds a copy of the keys of one prefix and their latest changes, from which an instance serves
/// the list and watch calls of other instances.
///
/// Design load: tens of instances follow the same keys, and each change costs the store one call
/// per instance. With one mirror per data centre, a change costs the store one call per data
/// centre.
class watch_mirror {
public:
  /// Adds a page of a list response from the store; `is_first` starts a new copy.
  void apply_page(const list_answer& page, bool is_first, const call_times& times);
  /// Applies a watch response from the store.
  void apply_events(const watch_answer& answer, const call_times& times);
  /// Called when the store did not respond: the copy is not fresh until it responds again.
  void mark_unconfirmed() { confirmed_ = false; }
  /// Removes all keys and changes; the next list starts a new copy.
  void clear();

  /// Whether all pages of the list have been added.
  [[nodiscard]] bool is_complete() const { return complete_; }
  /// Whether the copy is complete, and is known to have had all changes `limit` ago or later.
  [[nodiscard]] bool is_fresh(time_point now, duration limit) const;
  /// Returns how long ago the copy was known to have all changes.
  [[nodiscard]] duration age(time_point now) const { return now - confirmed_at_; }
  /// Returns for how long the copy stays fresh if the store does not confirm it again.
  [[nodiscard]] duration fresh_for(time_point now, duration limit) const;
  /// Returns how long the store may keep the next watch call, so that its answer confirms the copy
  /// again `interval` after the last time. Between `shortest` and `interval`.
  [[nodiscard]] duration next_wait(time_point now, duration interval, duration shortest) const;
  /// Returns all keys. Requires a complete copy.
  [[nodiscard]] list_answer list() const;
  /// Returns the changes after a revision, status `missing` if they are no longer in the history,
  /// or nullopt if there are none.
  [[nodiscard]] std::optional<watch_answer> changes(std::uint64_t after) const;
  /// Revision up to which the copy includes all changes.
  [[nodiscard]] std::uint64_t as_of() const { return as_of_; }

private:
  void apply(const change_event& it);

  std::map<std::string, stored_item, std::less<>> items_;
  std::deque<change_event> history_;
  /// Changes at or before this revision are no longer in the history.
  std::uint64_t history_start_ = 0;
  std::uint64_t as_of_ = 0;
  time_point confirmed_at_{};
  bool confirmed_ = false;
  /// How long the last answer without changes took beyond its wait.
  duration answer_delay_{};
  /// Whether further pages of the list are to be added.
  bool is_listing_ = false;
  bool complete_ = false;
};

} // namespace boragedoor::instance
