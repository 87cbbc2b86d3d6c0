#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

namespace boragedoor::dispatch {

/// Whether this instance has been the first keeper of an endpoint's budget for so long that the
/// permits of the one before it have expired and no other instance asks that one any more.
class keeper_changes {
public:
  explicit keeper_changes(std::string self) : self_(std::move(self)) {}

  /// Sets the ids of the members among which keepers are chosen.
  void update(std::span<const std::string> members, time_point now);
  /// Whether no other member was the first keeper of the endpoint lately.
  [[nodiscard]] bool is_settled(std::string_view endpoint, time_point now) const;

private:
  std::string self_;
  std::set<std::string, std::less<>> members_;
  /// Since when this instance is one of the members.
  std::optional<time_point> member_since_;
  /// When members were seen to be gone.
  std::map<std::string, time_point, std::less<>> departed_at_;
};

} // namespace boragedoor::dispatch
