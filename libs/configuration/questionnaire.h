#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/checked.h"
#include "base/json.h"
#include "configuration/elements.h"

namespace boragedoor::config {

/// What a new team fills in. docs/questionnaire.md explains every field. Optional answers already
/// have their defaults; keys and cheaper replica counts are left empty.
struct questionnaire {
  std::string team;
  isolation_policy on_isolation = isolation_policy::refuse;
  milliseconds usage_window{60000};
  std::vector<data_centre> data_centres;
  std::vector<request_class> classes;
  std::vector<workspace> workspaces;
  std::vector<model> models;
  std::vector<trainer> trainers;
  std::vector<service> services;
  std::vector<pool> pools;

  /// Parses and checks a document. Returns all findings with their JSON paths.
  static checked<questionnaire> parse(std::string_view text, std::string_view file);

  /// Checks a parsed document.
  static checked<questionnaire> from_json(const json& value, std::string_view file);

  friend bool operator==(const questionnaire&, const questionnaire&) = default;
};

} // namespace boragedoor::config
