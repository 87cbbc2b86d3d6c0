#include "configuration/configuration.h"

namespace boragedoor::config {

namespace {

json write(const data_centre& it) {
  return {{"name", it.name}, {"region", it.region}, {"ordering", to_string(it.ordering)}};
}

json write(const request_class& it) {
  return {{"name", it.name},
          {"kind", to_string(it.kind)},
          {"deadline_ms", it.deadline.count()},
          {"priority_budget", it.priority_budget},
          {"cheaper_capacity", it.cheap_allowed}};
}

json write(const workspace_key& it) {
  return {{"id", it.id}, {"sha256", it.sha256}, {"issued_at", it.issued_at}};
}

json write(const model& it) {
  return {{"name", it.name}, {"max_tokens", it.max_tokens}};
}

json write(const trainer& it) {
  return {{"name", it.name},
          {"model", it.model},
          {"workspace", it.workspace},
          {"staleness_bound", it.staleness_bound},
          {"group_size", it.group_size},
          {"max_tokens", it.max_tokens}};
}

json write(const service_route& it) {
  return {{"method", it.method},
          {"path_prefix", it.path_prefix},
          {"access", it.open ? "open" : "keyed"},
          {"idempotent", it.idempotent}};
}

json write(const pool_size& it) {
  return {{"data_centre", it.data_centre},
          {"minimum", it.minimum},
          {"maximum", it.maximum},
          {"cheap_maximum", it.cheap_maximum}};
}

json write(const config_limits& it) {
  return {{"max_step_samples", it.max_step_samples},
          {"max_queued_requests", it.max_queued_requests},
          {"claims_per_second", it.claims_per_second}};
}

template <class T>
json write_list(const std::vector<T>& list);

json write(const workspace& it) {
  return {{"name", it.name},
          {"weight", it.weight},
          {"request_classes", it.classes},
          {"keys", write_list(it.keys)}};
}

json write(const service& it) {
  return {{"name", it.name}, {"routes", write_list(it.routes)}};
}

json write(const pool& it) {
  json value = {{"name", it.name},
                {"fencing", to_string(it.fencing)},
                {"concurrency", it.concurrency},
                {"sizes", write_list(it.sizes)}};
  if (!it.model.empty()) {
    value["model"] = it.model;
  }
  if (!it.service.empty()) {
    value["service"] = it.service;
  }
  return value;
}

template <class T>
json write_list(const std::vector<T>& list) {
  json array = json::array();
  for (const auto& it : list) {
    array.push_back(write(it));
  }
  return array;
}

} // namespace

json to_json(const configuration& it) {
  return {{"revision", it.revision},
          {"proposal_id", it.proposal_id},
          {"team", it.team},
          {"on_isolation", to_string(it.on_isolation)},
          {"usage_window_ms", it.usage_window.count()},
          {"limits", write(it.limits)},
          {"data_centres", write_list(it.data_centres)},
          {"request_classes", write_list(it.classes)},
          {"workspaces", write_list(it.workspaces)},
          {"models", write_list(it.models)},
          {"trainers", write_list(it.trainers)},
          {"services", write_list(it.services)},
          {"pools", write_list(it.pools)}};
}

} // namespace boragedoor::config
