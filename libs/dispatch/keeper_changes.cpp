#include "dispatch/keeper_changes.h"

#include <algorithm>

#include "base/member.h"

namespace boragedoor::dispatch {

namespace {

/// Instances learn of a change of the members within two seconds, and permits are used within 0.4
/// s.
constexpr duration settling_time = milliseconds(2400);

} // namespace

void keeper_changes::update(std::span<const std::string> members, time_point now) {
  std::set<std::string, std::less<>> next(members.begin(), members.end());
  for (const std::string& it : members_) {
    if (!next.contains(it)) {
      departed_at_[it] = now;
    }
  }
  std::erase_if(departed_at_, [&](const auto& it) {
    return next.contains(it.first) || now - it.second >= settling_time;
  });
  if (!next.contains(self_)) {
    member_since_.reset();
  } else if (!member_since_) {
    member_since_ = now;
  }
  members_ = std::move(next);
}

bool keeper_changes::is_settled(std::string_view endpoint, time_point now) const {
  if (!member_since_ || now - *member_since_ < settling_time) {
    return false;
  }
  const auto own = rendezvous_weight(endpoint, self_);
  return std::none_of(departed_at_.begin(), departed_at_.end(), [&](const auto& it) {
    return now - it.second < settling_time && rendezvous_weight(endpoint, it.first) > own;
  });
}

} // namespace boragedoor::dispatch
