#include "configuration/generate.h"

#include <algorithm>

#include "configuration/canonical_order.h"

namespace boragedoor::config {

namespace {

/// Twice the 2,048 samples of a target step, so that a trainer can grow without a new release.
constexpr std::int64_t max_step_samples = 4096;
/// At the target an instance takes 13 requests/s over all workspaces, so this is about 20 s of the
/// whole load waiting for one workspace.
constexpr std::int64_t max_queued_requests = 256;
/// Store budget of the design page for at-most-once claims.
constexpr std::int64_t claims_per_second = 100;

/// True when some workspace uses a class that tolerates cheaper capacity.
bool tolerates_cheap(const questionnaire& answers) {
  return std::ranges::any_of(answers.workspaces, [&](const workspace& it) {
    return std::ranges::any_of(it.classes, [&](const std::string& name) {
      const auto found = std::ranges::find(answers.classes, name, &request_class::name);
      return found != answers.classes.end() && found->cheap_allowed;
    });
  });
}

/// Losing a replica in a non-idempotent call leaves its outcome unknown, so a pool of a service
/// with such a route never runs on capacity that disappears.
bool is_idempotent(const questionnaire& answers, const pool& it) {
  const auto found = std::ranges::find(answers.services, it.service, &service::name);
  return found == answers.services.end() ||
         std::ranges::all_of(found->routes, &service_route::idempotent);
}

void set_cheap_maximum(pool& it, bool allowed) {
  for (auto& size : it.sizes) {
    // The minimum stays on capacity that does not disappear.
    size.cheap_maximum = allowed ? size.maximum - size.minimum : 0;
  }
}

void keep_keys(configuration& next, const configuration& previous) {
  for (auto& it : next.workspaces) {
    if (const auto* former = find_workspace(previous, it.name)) {
      it.keys = former->keys;
    }
  }
}

} // namespace

configuration generate(const questionnaire& answers, const configuration& previous) {
  configuration next;
  next.revision = previous.revision;
  next.team = answers.team;
  next.on_isolation = answers.on_isolation;
  next.usage_window = answers.usage_window;
  next.limits = {max_step_samples, max_queued_requests, claims_per_second};
  next.data_centres = answers.data_centres;
  next.classes = answers.classes;
  next.workspaces = answers.workspaces;
  next.models = answers.models;
  next.trainers = answers.trainers;
  next.services = answers.services;
  next.pools = answers.pools;
  const bool cheap = tolerates_cheap(answers);
  for (auto& it : next.pools) {
    set_cheap_maximum(it, cheap && is_idempotent(answers, it));
  }
  keep_keys(next, previous);
  put_in_canonical_order(next);
  return next;
}

} // namespace boragedoor::config
