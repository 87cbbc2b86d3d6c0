#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "admission/admission_controller.h"
#include "admission/naive_admission.h"
#include "base/random.h"
#include "base/result.h"
#include "retry/hedge_policy.h"
#include "retry/naive_retry.h"
#include "retry/retry_policy.h"
#include "routing/naive_router.h"
#include "routing/router.h"

namespace boragedoor::bench {

/// Which decisions follow the policy; the others follow the naive baseline.
struct policy_parts {
  bool routing = true;
  bool admission = true;
  bool retry = true;
};

struct decision_options {
  policy_parts parts;
  routing::router_options router;
  std::size_t first_endpoint = 0;
  /// Tokens in flight that naive admission allows this instance, for engines and services.
  double naive_engine_tokens = 0;
  double naive_service_tokens = 0;
  std::uint64_t seed = 1;
};

enum class pool { engines, services };

/// The decision code of one instance, either kind for each part, behind one interface.
class decisions {
public:
  static result<decisions> create(const decision_options& options);

  [[nodiscard]] result<routing::route_choice> route(const routing::route_request& request,
                                                    time_point now);
  admission::admission_decision submit(pool where, const admission::admission_request& it,
                                       time_point now);
  admission::admission_actions poll(pool where, int instances, time_point now);
  void finish(pool where, std::uint64_t id, int tokens, bool complete, time_point now);
  void cancel(pool where, std::uint64_t id, time_point now);
  retry::retry_decision retry(const retry::failed_attempt& it, time_point now);

  /// Nothing where the part is naive.
  [[nodiscard]] admission::admission_controller* controller(pool where);
  [[nodiscard]] retry::hedge_policy* hedges() { return hedges_ ? &*hedges_ : nullptr; }
  void record_success();

  /// What routing knows; the naive router uses only the table.
  routing::endpoint_table table;
  routing::endpoint_health health;
  routing::prefix_cache_hints hints;

private:
  using admission_part = std::variant<admission::naive_admission, admission::admission_controller>;
  decisions(const decision_options& options, routing::endpoint_health judge,
            routing::prefix_cache_hints cache);
  [[nodiscard]] int places(pool where, int running, int instances) const;
  admission_part& part(pool where) {
    return where == pool::engines ? engine_admission_ : service_admission_;
  }

  std::variant<routing::naive_router, routing::router> router_;
  admission_part engine_admission_;
  admission_part service_admission_;
  std::variant<retry::naive_retry, retry::retry_policy> retry_;
  std::optional<retry::hedge_policy> hedges_;
  random_engine random_;
};

} // namespace boragedoor::bench
