#include "requests/naive_once_table.h"

namespace boragedoor::requests {

std::optional<stored_answer> naive_once_table::begin(time_point /*now*/,
                                                     const std::string& workspace,
                                                     const std::string& idempotency_key) const {
  const auto it = answers_.find(once_key(workspace, idempotency_key));
  return it == answers_.end() ? std::nullopt : std::optional(it->second);
}

void naive_once_table::finish(time_point /*now*/, const std::string& workspace,
                              const std::string& idempotency_key, stored_answer answer) {
  answers_[once_key(workspace, idempotency_key)] = std::move(answer);
}

} // namespace boragedoor::requests
