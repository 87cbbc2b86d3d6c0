#include "requests/idempotency_checker.h"

namespace boragedoor::requests {

stored_response idempotency_checker::on_executed(const std::string& key,
                                                 const std::string& body_hash, std::uint64_t call) {
  executed_calls_.insert(call);
  std::vector<stored_response>& executions = executions_[key];
  executions.push_back({200, "text/plain", body_hash + " for " + key, false});
  if (executions.size() > 1) {
    violations_.push_back(key + " was executed twice");
  }
  return executions.back();
}

void idempotency_checker::on_record_absent(std::size_t process, const std::string& key,
                                           std::uint64_t last_call) {
  if (executions_[key].empty()) {
    absent_[{process, key}] = last_call;
  }
}

void idempotency_checker::on_reply(std::size_t process, const std::string& key,
                                   const std::string& body_hash, std::uint64_t call,
                                   idempotency_status status, const stored_response& response) {
  ++replies_[status];
  if (!replied_calls_.insert(call).second) {
    violations_.push_back(key + ": a call was replied to twice");
  }
  const std::vector<stored_response>& executions = executions_[key];
  const auto absent = absent_.find({process, key});
  const bool not_executed_is_true =
      absent != absent_.end() && absent->second >= call && !executed_calls_.contains(call);
  if (status == idempotency_status::not_executed && !executions.empty() && !not_executed_is_true) {
    violations_.push_back(key + ": not_executed for a request that was executed");
  }
  if (status == idempotency_status::answer &&
      (executions.empty() || executions.back() != response)) {
    violations_.push_back(key + ": a response that the endpoint did not send");
  }
  if (status == idempotency_status::answer && !response.body.starts_with(body_hash)) {
    violations_.push_back(key + ": the response to a different request");
  }
}

} // namespace boragedoor::requests
