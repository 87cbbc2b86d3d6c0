#include "configuration/element_checks.h"

namespace boragedoor::config {

namespace {

template <class T>
const T* find_named(const std::vector<T>& list, std::string_view name) {
  const auto it = std::ranges::find(list, name, &T::name);
  return it == list.end() ? nullptr : &*it;
}

bool has_rollout_class(const workspace& it, const std::vector<request_class>& classes) {
  return std::ranges::any_of(it.classes, [&](const std::string& name) {
    const auto* found = find_named(classes, name);
    return found != nullptr && found->kind == request_kind::rollout;
  });
}

void check_trainer(const trainer& it, const element_view& all, document_checks& checks) {
  const std::string path = checks.path_of("trainer", it.name);
  const auto* trained = find_named(all.models, it.model);
  if (trained != nullptr && it.max_tokens > trained->max_tokens) {
    checks.report(path + ".max_tokens", "greater than the model's max_tokens",
                  "use at most " + std::to_string(trained->max_tokens));
  }
  const auto* owner = find_named(all.workspaces, it.workspace);
  if (owner != nullptr && !has_rollout_class(*owner, all.classes)) {
    checks.report(path + ".workspace", "the workspace has no request class of kind rollout",
                  "add one to its request_classes");
  }
}

template <class T>
void check_not_empty(const std::vector<T>& list, std::string_view path, document_checks& checks) {
  if (list.empty()) {
    checks.report(path, "empty", "add at least one entry");
  }
}

} // namespace

void check_elements(const element_view& all, document_checks& checks) {
  check_not_empty(all.data_centres, "$.data_centres", checks);
  check_not_empty(all.classes, "$.request_classes", checks);
  check_not_empty(all.workspaces, "$.workspaces", checks);
  for (const auto& it : all.trainers) {
    check_trainer(it, all, checks);
  }
  for (const auto& it : all.models) {
    if (std::ranges::find(all.pools, it.name, &pool::model) == all.pools.end()) {
      checks.report(checks.path_of("model", it.name), "no pool serves the model",
                    "add one to pools");
    }
  }
  for (const auto& it : all.services) {
    if (std::ranges::find(all.pools, it.name, &pool::service) == all.pools.end()) {
      checks.report(checks.path_of("service", it.name), "no pool serves the service",
                    "add one to pools");
    }
  }
  checks.resolve();
}

} // namespace boragedoor::config
