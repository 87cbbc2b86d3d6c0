#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "requests/idempotency_table.h"

namespace boragedoor::requests {

/// Observes every execution and every reply, and collects violations of two guarantees: a request
/// is executed at most once per idempotency key, and `not_executed` is replied only if it is true.
class idempotency_checker {
public:
  /// Records that the endpoint executed a request, and returns its response.
  stored_response on_executed(const std::string& key, const std::string& body_hash,
                              std::uint64_t call);
  /// Notes that the record of a key is absent: the process removed it or found none. `last_call` is
  /// the newest call so far.
  void on_record_absent(std::size_t process, const std::string& key, std::uint64_t last_call);
  /// Checks a reply. `not_executed` is allowed if no request with the key has been executed. It is
  /// also allowed if the call itself was not executed and, at some time since the call began, the
  /// record was absent and no request with the key had been executed: a resend may be executed
  /// after that time and before the reply is issued.
  void on_reply(std::size_t process, const std::string& key, const std::string& body_hash,
                std::uint64_t call, idempotency_status status, const stored_response& response);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] const std::map<idempotency_status, std::uint64_t>& replies() const {
    return replies_;
  }

private:
  std::map<std::string, std::vector<stored_response>> executions_;
  /// By process and key: the newest call when the process last found the record absent and no
  /// request with the key had been executed.
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> absent_;
  std::set<std::uint64_t> executed_calls_;
  std::set<std::uint64_t> replied_calls_;
  std::map<idempotency_status, std::uint64_t> replies_;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::requests
