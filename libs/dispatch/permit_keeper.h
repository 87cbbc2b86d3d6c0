#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace boragedoor::dispatch {

/// A request of an instance for permits to send to an endpoint that states a limit.
struct permit_request {
  std::string endpoint;
  /// Wanted number of permits.
  int count = 0;
  /// Requests a second that the endpoint takes from all instances, as the requester read it.
  double per_second = 0;
  /// Time since a response to the requester stated the limit.
  duration age{};
};

struct permit_grant {
  int count = 0;
  /// Time after which a further request can succeed.
  duration retry_after{};
};

/// In which role an instance grants permits for an endpoint.
enum class keeper_role {
  /// It keeps the endpoint's budget.
  keeper,
  /// It stands in for the keeper, which does not respond to some instance.
  substitute,
  /// It knows no other instance.
  alone,
};

/// Grants permits for the endpoints whose budgets this instance keeps.
///
/// Design note: one instance keeps the budget of an endpoint, so that a busy instance can use what
/// idle ones leave. While two instances grant for the same endpoint, because their lists of members
/// differ or the keeper does not respond to some of them, the substitute grants half of the rate.
/// Both together then stay within one and a half times the limit.
class permit_keeper {
public:
  permit_grant grant(const permit_request& request, keeper_role role, time_point now);
  /// Forgets the budgets that were not asked for lately.
  void expire(time_point now);
  [[nodiscard]] std::size_t size() const { return budgets_.size(); }

private:
  struct budget {
    double per_second = 0;
    time_point stated_at{};
    /// Permits that can be granted at `updated_at`, and fractions of the next one.
    double available = 0;
    time_point updated_at{};
  };

  std::map<std::string, budget, std::less<>> budgets_;
};

} // namespace boragedoor::dispatch
