#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "requests/idempotency_record.h"

namespace boragedoor::requests {

/// Baseline for comparison: keeps responses in the memory of one instance. Another instance sends
/// the request again, and so does the same instance after a restart or while the first call is
/// running.
class naive_idempotency_table {
public:
  /// Returns the stored response, or nothing if the caller must send the request.
  [[nodiscard]] std::optional<stored_response> begin(time_point now, const std::string& workspace,
                                                     const std::string& idempotency_key) const;
  /// Stores the response to a request.
  void finish(time_point now, const std::string& workspace, const std::string& idempotency_key,
              stored_response response);

private:
  std::map<std::string, stored_response> responses_;
};

} // namespace boragedoor::requests
