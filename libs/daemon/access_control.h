#pragma once

#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/result.h"
#include "configuration/keys.h"
#include "daemon/api_error.h"
#include "daemon/configuration_task.h"
#include "net/http_types.h"

namespace boragedoor::daemon {

/// Decides whose request it is. Holds the configuration in force and the keys withdrawn since.
class access_control {
public:
  explicit access_control(std::string operator_token_sha256)
      : operator_token_sha256_(std::move(operator_token_sha256)) {}

  void on_configuration(const configuration_ptr& configuration) { configuration_ = configuration; }
  void on_keys_withdrawn(std::span<const std::string> key_ids) {
    withdrawn_.insert(key_ids.begin(), key_ids.end());
  }
  /// `fresh` is false while this instance cannot know which keys are withdrawn.
  void on_freshness(bool fresh) { fresh_ = fresh; }

  /// Finds the workspace whose key came with a request.
  [[nodiscard]] BOOST_OUTCOME_V2_NAMESPACE::basic_result<
      config::key_owner, api_error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>
  authenticate(const net::headers& fields) const;

  [[nodiscard]] bool is_operator(const net::headers& fields) const;

  [[nodiscard]] bool is_withdrawn(std::string_view key_id) const {
    return withdrawn_.contains(key_id);
  }

  /// The configuration in force; nullptr before the first one.
  [[nodiscard]] const configuration_ptr& configuration() const { return configuration_; }

private:
  std::string operator_token_sha256_;
  configuration_ptr configuration_;
  std::set<std::string, std::less<>> withdrawn_;
  bool fresh_ = true;
};

} // namespace boragedoor::daemon
