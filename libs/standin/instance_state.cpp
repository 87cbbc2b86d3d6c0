#include "standin/instance_state.h"

#include <utility>

namespace boragedoor::standin {

void instance_state::put(const std::string& id, json fields, time_point now) {
  fields["id"] = id;
  pending_.push_back({now, id, std::move(fields)});
}

void instance_state::remove(const std::string& id, time_point now) {
  pending_.push_back({now, id, std::nullopt});
}

json instance_state::list(time_point now) {
  while (!pending_.empty() && pending_.front().at + lag_ <= now) {
    change it = std::move(pending_.front());
    pending_.pop_front();
    if (it.fields) {
      visible_[it.id] = std::move(*it.fields);
    } else {
      visible_.erase(it.id);
    }
  }
  json instances = json::array();
  for (const auto& [id, fields] : visible_) {
    instances.push_back(fields);
  }
  const auto lag = std::chrono::duration_cast<milliseconds>(lag_);
  return {{"instances", std::move(instances)}, {"lag_ms", lag.count()}};
}

} // namespace boragedoor::standin
