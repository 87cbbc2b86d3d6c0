#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"

namespace boragedoor::config {

enum class change_kind { added, removed, modified };

enum class change_subject {
  general,
  limits,
  data_centre,
  request_class,
  workspace,
  key,
  model,
  trainer,
  service,
  pool,
};

std::string_view to_string(change_kind it);
std::string_view to_string(change_subject it);

/// One difference between two configurations.
struct change {
  change_kind kind = change_kind::modified;
  change_subject subject = change_subject::general;
  /// Name of the element; for a key its id; empty for general fields.
  std::string name;
  /// Field that was modified; empty when the whole element was added or removed.
  std::string field;
  /// JSON text of the values, empty where there is none. Never a key hash.
  std::string before;
  std::string after;

  friend bool operator==(const change&, const change&) = default;
};

/// Describes a change on one line, for example `workspace "north" weight: 2 -> 3`.
std::string to_string(const change& it);

json to_json(const change& it);

/// Lists the changes from `before` to `after`. Revision and proposal id do not count.
std::vector<change> diff(const configuration& before, const configuration& after);

} // namespace boragedoor::config
