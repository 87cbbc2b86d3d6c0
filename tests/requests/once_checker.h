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
  stored_answer executed(const std::string& key, const std::string& body_hash, std::uint64_t call);
  /// A process removed the record of a key or found none, when `last_call` was the newest call.
  void gone(std::size_t client, const std::string& key, std::uint64_t last_call);
  /// `not_executed` must have been true at such a moment since the call began: a resend may run
  /// right after it, before the answer is on its way.
  void replied(std::size_t client, const std::string& key, const std::string& body_hash,
               std::uint64_t call, once_status status, const stored_answer& answer);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] const std::map<once_status, std::uint64_t>& replies() const { return replies_; }

private:
  std::map<std::string, std::vector<stored_answer>> executions_;
  /// The newest call when a process last saw a key gone that had not run.
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> gone_;
  std::set<std::uint64_t> executed_calls_;
  std::set<std::uint64_t> answered_;
  std::map<once_status, std::uint64_t> replies_;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::requests
