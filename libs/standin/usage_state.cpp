#include "standin/usage_state.h"

#include <map>
#include <utility>

namespace boragedoor::standin {

result<void> usage_state::receive(const json& report, wall_time now) {
  if (!string_field(report, "report_id") || !report.contains("window") ||
      !report.contains("shard") || !report.contains("figures")) {
    return error{error_code::invalid_argument, "report_id, window, shard and figures are needed"};
  }
  json kept = report;
  kept["received_ms"] = to_milliseconds(now);
  reports_.push_back(std::move(kept));
  return success();
}

json usage_state::list() const {
  std::map<std::pair<json, json>, std::vector<const json*>> groups;
  for (const json& it : reports_) {
    groups[{it["window"], it["shard"]}].push_back(&it);
  }
  json conflicts = json::array();
  for (const auto& [place, reports] : groups) {
    json ids = json::array();
    bool differ = false;
    for (const json* it : reports) {
      ids.push_back((*it)["report_id"]);
      differ = differ || (*it)["figures"] != (*reports.front())["figures"] ||
               it->value("late", json()) != reports.front()->value("late", json());
    }
    if (differ) {
      conflicts.push_back(
          {{"window", place.first}, {"shard", place.second}, {"reports", std::move(ids)}});
    }
  }
  return {{"reports", reports_}, {"conflicts", std::move(conflicts)}};
}

} // namespace boragedoor::standin
