#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/checked.h"
#include "base/json.h"
#include "configuration/elements.h"

namespace boragedoor::config {

/// Largest configuration document in bytes: the largest value that the store takes.
inline constexpr std::size_t max_document_bytes = 1000UL * 1000;

/// The accepted configuration: everything that instances agree on at run time. Lists are sorted by
/// name, so that equal configurations have equal text.
struct configuration {
  /// Position in the sequence of accepted configurations; 0 before acceptance.
  std::uint64_t revision = 0;
  /// Random id of the proposal, with which a proposer recognises its own document.
  std::string proposal_id;
  std::string team;
  isolation_policy on_isolation = isolation_policy::refuse;
  milliseconds usage_window{60000};
  config_limits limits;
  std::vector<data_centre> data_centres;
  std::vector<request_class> classes;
  std::vector<workspace> workspaces;
  std::vector<model> models;
  std::vector<trainer> trainers;
  std::vector<service> services;
  std::vector<pool> pools;

  /// Reads the JSON form. Returns all findings with their JSON paths; `source` names the document
  /// in them.
  static checked<configuration> from_json(const json& value, std::string_view source);

  /// Parses and reads a document.
  static checked<configuration> parse(std::string_view text, std::string_view source);

  friend bool operator==(const configuration&, const configuration&) = default;
};

json to_json(const configuration& it);

/// Writes the document on one line with sorted fields. Equal configurations give equal bytes.
std::string to_document(const configuration& it);

/// Looks an element up by its name; returns nullptr when there is none.
const workspace* find_workspace(const configuration& in, std::string_view name);
const request_class* find_class(const configuration& in, std::string_view name);
const model* find_model(const configuration& in, std::string_view name);
const trainer* find_trainer(const configuration& in, std::string_view name);
const service* find_service(const configuration& in, std::string_view name);
const pool* find_pool(const configuration& in, std::string_view name);
const data_centre* find_data_centre(const configuration& in, std::string_view name);

} // namespace boragedoor::config
