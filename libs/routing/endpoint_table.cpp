#include "routing/endpoint_table.h"

namespace boragedoor::routing {

result<void> endpoint_table::put(endpoint description) {
  if (description.id.empty()) {
    return error{error_code::invalid_argument, "endpoint id must not be empty"};
  }
  if (description.max_running < 1) {
    return error{error_code::invalid_argument,
                 "endpoint " + description.id + ": max_running must be at least 1"};
  }
  std::string id = description.id;
  rows_[std::move(id)].description = std::move(description);
  return success();
}

void endpoint_table::remove(std::string_view id) {
  if (const auto it = rows_.find(id); it != rows_.end()) {
    rows_.erase(it);
  }
}

endpoint_table::row* endpoint_table::find_row(std::string_view id) {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : &it->second;
}

bool endpoint_table::set_state(std::string_view id, endpoint_state state) {
  row* it = find_row(id);
  if (it != nullptr) {
    it->description.state = state;
  }
  return it != nullptr;
}

bool endpoint_table::set_weight_version(std::string_view id, std::uint64_t version) {
  row* it = find_row(id);
  if (it != nullptr) {
    it->description.weight_version = version;
  }
  return it != nullptr;
}

void endpoint_table::update_load(std::string_view id, const load_report& load) {
  if (row* it = find_row(id)) {
    it->load.update(load);
  }
}

void endpoint_table::record_dispatch(std::string_view id, time_point now) {
  if (row* it = find_row(id)) {
    it->load.record_dispatch(now);
  }
}

void endpoint_table::record_completion(std::string_view id, time_point now) {
  if (row* it = find_row(id)) {
    it->load.record_completion(now);
  }
}

const endpoint* endpoint_table::find(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : &it->second.description;
}

std::optional<load_report> endpoint_table::last_report(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? std::nullopt : it->second.load.last_report();
}

int endpoint_table::outstanding(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? 0 : it->second.load.outstanding();
}

int endpoint_table::own_open_requests(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? 0 : it->second.load.own_open_requests();
}

int endpoint_table::own_net_since_report(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? 0 : it->second.load.own_net_since_report();
}

} // namespace boragedoor::routing
