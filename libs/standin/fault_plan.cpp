#include "standin/fault_plan.h"

#include <algorithm>
#include <utility>

namespace boragedoor::standin {

void fault_plan::add(fault it) {
  active_.push_back(std::move(it));
}

std::size_t fault_plan::clear() {
  const std::size_t n = active_.size();
  active_.clear();
  return n;
}

std::optional<fault> fault_plan::take(fault_kind kind, std::string_view call, time_point now) {
  remove_ended(now);
  const auto place = std::find_if(active_.begin(), active_.end(), [&](const fault& it) {
    return it.kind == kind && (it.call.empty() || it.call == call);
  });
  if (place == active_.end()) {
    return std::nullopt;
  }
  return use(place);
}

std::optional<fault> fault_plan::take_crash(std::string_view prompt, time_point now) {
  remove_ended(now);
  const auto place = std::find_if(active_.begin(), active_.end(), [&](const fault& it) {
    return it.kind == fault_kind::crash_on && prompt.find(it.text) != std::string_view::npos;
  });
  if (place == active_.end()) {
    return std::nullopt;
  }
  return use(place);
}

void fault_plan::remove_ended(time_point now) {
  std::erase_if(active_, [&](const fault& it) {
    return (it.end && *it.end <= now) || (it.count && *it.count <= 0);
  });
}

fault fault_plan::use(std::vector<fault>::iterator place) {
  count_use(place->kind);
  if (place->count) {
    --*place->count;
  }
  return *place;
}

} // namespace boragedoor::standin
