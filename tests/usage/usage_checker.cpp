#include "usage/usage_checker.h"

namespace boragedoor::usage {

void usage_checker::recorded(const usage_source& source, std::uint64_t window, const usage_key& key,
                             const usage_figures& it) {
  facts_[source][{window, key}] += it;
}

void usage_checker::reported(const std::string& id, const std::string& body) {
  const auto [it, inserted] = reports_.emplace(id, body);
  if (!inserted && it->second != body) {
    violations_.push_back(id + " was reported with different figures");
  }
}

void usage_checker::finish(const std::vector<frozen_window>& windows) {
  std::map<usage_source, origin_table> counted;
  for (const frozen_window& window : windows) {
    const auto report = reports_.find(window.report_id);
    if (report == reports_.end() || report->second != report_body(window)) {
      violations_.push_back(window.report_id + " was not reported as frozen");
    }
    for (const auto& [source, counters] : window.included) {
      for (const auto& [row, figures] : counters.table) {
        usage_key key = row;
        const std::uint64_t origin = key.late_from == 0 ? window.window : key.late_from;
        key.late_from = 0;
        counted[source][{origin, key}] += figures;
      }
    }
  }
  for (const auto& [source, table] : counted) {
    compare(source, table);
  }
  for (const auto& [source, table] : facts_) {
    if (!dead_.contains(source) && !counted.contains(source)) {
      violations_.push_back(source.instance + " is missing from all windows");
    }
  }
}

void usage_checker::compare(const usage_source& source, const origin_table& counted) {
  const origin_table& facts = facts_[source];
  if (!dead_.contains(source)) {
    if (counted != facts) {
      violations_.push_back(source.instance + " is counted with other figures than it recorded");
    }
    return;
  }
  for (const auto& [key, figures] : counted) {
    const auto it = facts.find(key);
    if (it == facts.end() || figures.requests > it->second.requests ||
        figures.endpoint_us > it->second.endpoint_us) {
      violations_.push_back(source.instance + " is counted with more than it recorded");
    }
  }
}

} // namespace boragedoor::usage
