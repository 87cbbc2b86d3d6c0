#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "requests/once_table.h"

namespace boragedoor::requests {

/// Sees every execution and every reply, and collects violations of G10 and G11.
class once_checker {
public:
  /// The endpoint ran a request and answered.
  stored_answer executed(const std::string& key, const std::string& body_hash);
  void replied(const std::string& key, const std::string& body_hash, std::uint64_t call,
               once_status status, const stored_answer& answer);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] const std::map<once_status, std::uint64_t>& replies() const { return replies_; }

private:
  std::map<std::string, std::vector<stored_answer>> executions_;
  std::set<std::uint64_t> answered_;
  std::map<once_status, std::uint64_t> replies_;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::requests
