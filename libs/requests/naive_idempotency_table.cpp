#include "requests/naive_idempotency_table.h"

namespace boragedoor::requests {

std::optional<stored_response>
naive_idempotency_table::begin(time_point /*now*/, const std::string& workspace,
                               const std::string& idempotency_key) const {
  const auto it = responses_.find(idempotency_record_key(workspace, idempotency_key));
  return it == responses_.end() ? std::nullopt : std::optional(it->second);
}

void naive_idempotency_table::finish(time_point /*now*/, const std::string& workspace,
                                     const std::string& idempotency_key, stored_response response) {
  responses_[idempotency_record_key(workspace, idempotency_key)] = std::move(response);
}

} // namespace boragedoor::requests
