#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/result.h"

namespace boragedoor::daemon {

/// A small fact that every instance should know, for example who holds a shard.
struct announcement {
  /// Name of the fact, for example "holder/usage/3" or "weights/planner".
  std::string name;
  /// Fencing token or version: of two facts of one name the higher number wins.
  std::uint64_t number = 0;
  json value;
};

/// The facts that this instance knows. Merging is idempotent and independent of the order.
class announcement_board {
public:
  /// Returns true when the fact was new or newer.
  bool merge(const announcement& it);

  /// Returns the fact of that name, or nullptr.
  [[nodiscard]] const announcement* find(std::string_view name) const;

  [[nodiscard]] std::vector<announcement> all() const;

  /// Hash over names and numbers, by which two instances see whether they know the same.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

private:
  std::map<std::string, announcement, std::less<>> facts_;
  std::uint64_t digest_ = 0;
};

json to_json(const announcement& it);
/// Fails with `protocol` on anything else than the form that `to_json` writes.
result<announcement> announcement_from_json(const json& value);

} // namespace boragedoor::daemon
