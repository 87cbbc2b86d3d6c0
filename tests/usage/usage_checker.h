#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "usage/usage_documents.h"

namespace boragedoor::usage {

/// Sees every fact and every report, and collects violations of G8.
class usage_checker {
public:
  void recorded(const usage_source& source, std::uint64_t window, const usage_key& key,
                const usage_figures& it);
  /// The process has died; what its holder did not have yet may be missing.
  void died(const usage_source& source) { dead_.insert(source); }
  /// The intake received a report.
  void reported(const std::string& id, const std::string& body);
  void violation(std::string what) { violations_.push_back(std::move(what)); }
  /// Compares the frozen windows with the facts, and with the reports if all should have come.
  void finish(const std::vector<frozen_window>& windows);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

private:
  /// Figures by the window in which the usage happened, whatever window counts them.
  using origin_table = std::map<std::pair<std::uint64_t, usage_key>, usage_figures>;

  void compare(const usage_source& source, const origin_table& counted);

  std::map<usage_source, origin_table> facts_;
  std::set<usage_source> dead_;
  std::map<std::string, std::string> reports_;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::usage
