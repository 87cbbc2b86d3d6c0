#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standin/fault.h"

namespace boragedoor::standin {

/// The faults that are in force. Pure: the present time is an argument.
class fault_plan {
public:
  void add(fault it);

  /// Removes all faults and returns how many there were.
  std::size_t clear();

  /// Takes the first fault of this kind that applies to a call of kind `call`, and counts the use.
  std::optional<fault> take(fault_kind kind, std::string_view call, time_point now);

  /// Takes a `crash_on` fault whose text the prompt contains.
  std::optional<fault> take_crash(std::string_view prompt, time_point now);

  /// Counts the use of a fault that takes effect at once and is not kept.
  void count_use(fault_kind kind) { ++uses_[std::string(to_string(kind))]; }

  /// How often each kind was used, by its text form.
  [[nodiscard]] const std::map<std::string, std::int64_t, std::less<>>& uses() const {
    return uses_;
  }

private:
  void remove_ended(time_point now);
  fault use(std::vector<fault>::iterator place);

  std::vector<fault> active_;
  std::map<std::string, std::int64_t, std::less<>> uses_;
};

} // namespace boragedoor::standin
