#pragma once

#include <algorithm>

#include "configuration/document_reader.h"
#include "configuration/elements.h"

namespace boragedoor::config {

/// The parts of a document that its elements are checked against.
struct element_view {
  const std::vector<data_centre>& data_centres;
  const std::vector<request_class>& classes;
  const std::vector<workspace>& workspaces;
  const std::vector<model>& models;
  const std::vector<trainer>& trainers;
  const std::vector<service>& services;
  const std::vector<pool>& pools;
};

/// Checks what concerns several elements, and resolves all references.
void check_elements(const element_view& all, document_checks& checks);

/// Applies `check_elements` to a questionnaire or configuration.
template <class Document>
void check_document(const Document& it, document_checks& checks) {
  check_elements(
      {it.data_centres, it.classes, it.workspaces, it.models, it.trainers, it.services, it.pools},
      checks);
}

} // namespace boragedoor::config
