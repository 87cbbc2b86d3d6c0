#pragma once

#include <cstddef>
#include <map>
#include <optional>
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
  /// Permits that may be saved up while nobody asks.
  double burst = 2;
  /// Whether the endpoint may be cold at any moment, so that its budget holds for each second.
  bool warm_up = false;
};

struct permit_grant {
  int count = 0;
  /// Time after which a further request can succeed.
  duration retry_after{};
};

/// Share of an endpoint's limit that an instance grants. `rank` is its position among the members
/// that are asked in turn until one answers; nothing if it knows no member. The shares of all ranks
/// but the first add up to half of the limit.
double permit_share(std::optional<std::size_t> rank);

/// Grants permits for the endpoints whose budgets this instance keeps.
///
/// Design note: one instance keeps the budget of an endpoint, so that a busy instance can use what
/// idle ones leave. While it does not answer some of the others, the members after it grant smaller
/// shares, so that all together stay within one and a half times the limit.
class permit_keeper {
public:
  /// Grants permits from `share` of the endpoint's limit. `settled` says that no other instance has
  /// granted any lately, so a new budget starts with all permits that it can save up.
  permit_grant grant(const permit_request& request, double share, time_point now,
                     bool settled = false);
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
