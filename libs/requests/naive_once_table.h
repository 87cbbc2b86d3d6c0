#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "requests/once_record.h"

namespace boragedoor::requests {

/// The baseline: remembers answers in the memory of one instance. Another instance, or the same
/// one after a restart or while the first call runs, sends the request again.
class naive_once_table {
public:
  /// The stored answer, or nothing if the request is to be sent.
  [[nodiscard]] std::optional<stored_answer> begin(time_point now, const std::string& workspace,
                                                   const std::string& idempotency_key) const;
  void finish(time_point now, const std::string& workspace, const std::string& idempotency_key,
              stored_answer answer);

private:
  std::map<std::string, stored_answer> answers_;
};

} // namespace boragedoor::requests
