#include "requests/once_checker.h"

namespace boragedoor::requests {

stored_answer once_checker::executed(const std::string& key, const std::string& body_hash,
                                     std::uint64_t call) {
  executed_calls_.insert(call);
  std::vector<stored_answer>& list = executions_[key];
  list.push_back({200, "text/plain", body_hash + " for " + key, false});
  if (list.size() > 1) {
    violations_.push_back(key + " was executed twice");
  }
  return list.back();
}

void once_checker::gone(std::size_t client, const std::string& key, std::uint64_t last_call) {
  if (executions_[key].empty()) {
    gone_[{client, key}] = last_call;
  }
}

void once_checker::replied(std::size_t client, const std::string& key, const std::string& body_hash,
                           std::uint64_t call, once_status status, const stored_answer& answer) {
  ++replies_[status];
  if (!answered_.insert(call).second) {
    violations_.push_back(key + ": a call was answered twice");
  }
  const std::vector<stored_answer>& list = executions_[key];
  const auto seen = gone_.find({client, key});
  const bool true_then =
      seen != gone_.end() && seen->second >= call && !executed_calls_.contains(call);
  if (status == once_status::not_executed && !list.empty() && !true_then) {
    violations_.push_back(key + ": not_executed for a request that ran");
  }
  if (status == once_status::answer && (list.empty() || list.back() != answer)) {
    violations_.push_back(key + ": an answer that the endpoint did not give");
  }
  if (status == once_status::answer && !answer.body.starts_with(body_hash)) {
    violations_.push_back(key + ": the answer to another request");
  }
}

} // namespace boragedoor::requests
