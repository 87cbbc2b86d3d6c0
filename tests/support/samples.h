#pragma once

#include <fstream>
#include <string>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "configuration/generate.h"
#include "configuration/questionnaire.h"

namespace boragedoor::testing {

/// Reads the sample questionnaire of a deployment. Tests run two folders below the root.
inline json sample_json(const std::string& team) {
  std::ifstream file("../../samples/" + team + "/questionnaire.json");
  REQUIRE(file);
  return json::parse(file);
}

inline config::questionnaire sample_questionnaire(const std::string& team) {
  auto it = config::questionnaire::from_json(sample_json(team), team);
  INFO((it ? std::string() : to_string(it.error())));
  REQUIRE(it);
  return it.value();
}

inline config::configuration sample_configuration(const std::string& team) {
  return config::generate(sample_questionnaire(team), {});
}

} // namespace boragedoor::testing
