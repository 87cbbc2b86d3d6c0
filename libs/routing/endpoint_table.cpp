#include "routing/endpoint_table.h"

#include <algorithm>

namespace boragedoor::routing {

namespace {

// Dispatch and completion times kept per endpoint while no report arrives. Above the limit the
// oldest of each is dropped, which keeps their difference: only that is used.
constexpr std::size_t max_tracked_times = 512;

void drop_until(std::deque<time_point>& times, time_point as_of) {
  while (!times.empty() && times.front() <= as_of) {
    times.pop_front();
  }
}

} // namespace

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
  row* known = find_row(id);
  if (known == nullptr || (known->load && known->load->as_of >= load.as_of)) {
    return;
  }
  known->load = load;
  drop_until(known->started, load.as_of);
  drop_until(known->finished, load.as_of);
}

void endpoint_table::record_dispatch(std::string_view id, time_point now) {
  row* it = find_row(id);
  if (it == nullptr) {
    return;
  }
  it->own_open_requests += 1;
  it->started.push_back(now);
  if (it->started.size() > max_tracked_times && !it->finished.empty()) {
    it->started.pop_front();
    it->finished.pop_front();
  }
}

void endpoint_table::record_completion(std::string_view id, time_point now) {
  row* it = find_row(id);
  // Requests from before an endpoint was removed and added again are no longer counted.
  if (it == nullptr || it->own_open_requests == 0) {
    return;
  }
  it->own_open_requests -= 1;
  it->finished.push_back(now);
}

const endpoint* endpoint_table::find(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : &it->second.description;
}

std::optional<load_report> endpoint_table::last_report(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? std::nullopt : it->second.load;
}

int endpoint_table::outstanding(const row& it) {
  int n = 0;
  if (it.load) {
    n = it.load->running + it.load->waiting + static_cast<int>(it.started.size()) -
        static_cast<int>(it.finished.size());
  }
  return std::max(n, it.own_open_requests);
}

int endpoint_table::outstanding(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? 0 : outstanding(it->second);
}

int endpoint_table::own_open_requests(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? 0 : it->second.own_open_requests;
}

int endpoint_table::own_net_since_report(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? 0
                           : static_cast<int>(it->second.started.size()) -
                                 static_cast<int>(it->second.finished.size());
}

} // namespace boragedoor::routing
