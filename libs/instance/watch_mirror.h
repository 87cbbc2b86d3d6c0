#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "instance/durable_store.h"

namespace boragedoor::instance {

/// A copy of the keys of one prefix with their latest changes, from which an instance answers the
/// list and watch calls of others.
///
/// Pattern: tens of instances follow the same keys, and each change costs the store one call an
/// instance. With one copy a data centre, a change costs the store one call a data centre.
class watch_mirror {
public:
  /// Takes a page that the store listed; `first` begins a new copy. `now` is when the call was
  /// answered.
  void take_page(const list_answer& page, bool first, time_point now);
  /// Takes what the store answered to a watch.
  void take_events(const watch_answer& answer, time_point now);
  /// The store did not answer: the copy is not fresh until it does.
  void lose_contact() { confirmed_ = false; }
  /// Forgets everything: the next list begins a new copy.
  void clear();

  /// Whether the copy is whole.
  [[nodiscard]] bool is_complete() const { return complete_; }
  /// Whether the copy is whole and the store confirmed it within `limit`.
  [[nodiscard]] bool is_fresh(time_point now, duration limit) const;
  /// All keys. Call only if the copy is whole.
  [[nodiscard]] list_answer list() const;
  /// Changes behind a revision, `missing` if they are no longer known; nothing if there are none.
  [[nodiscard]] std::optional<watch_answer> changes(std::uint64_t after) const;
  /// Revision up to which the copy is known to be whole.
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
  bool complete_ = false;
};

} // namespace boragedoor::instance
