#include "daemon/completion_request.h"

#include <algorithm>

#include "base/hash.h"
#include "base/json.h"

namespace boragedoor::daemon {

namespace {

// OpenAI-style clients expect a short answer when they state no length.
constexpr std::int64_t default_max_tokens = 256;

// Used where a request class states no deadline.
constexpr duration default_deadline = seconds(120);

constexpr int highest_priority = 3;

} // namespace

std::variant<completion_request, api_error>
parse_completion_request(std::string_view body, const config::configuration& configuration,
                         std::string_view workspace, time_point now) {
  const auto parsed = parse_json(body);
  if (!parsed || !parsed.value().is_object()) {
    return bad_request_error("the body is not a JSON object");
  }
  const json& value = parsed.value();
  const auto model = string_field(value, "model");
  const auto prompt = string_field(value, "prompt");
  if (!model || !prompt) {
    return bad_request_error("\"model\" and \"prompt\" must be strings");
  }
  const auto* known = config::find_model(configuration, *model);
  const auto pool = std::ranges::find(configuration.pools, *model, &config::pool::model);
  if (known == nullptr || pool == configuration.pools.end()) {
    return not_found_error("no model \"" + *model + "\"; the configuration lists the models");
  }
  const auto* owner = config::find_workspace(configuration, workspace);
  if (owner == nullptr || owner->classes.empty()) {
    return unauthorized_error();
  }
  const std::string name = string_field(value, "request_class").value_or(owner->classes.front());
  const auto* kind = config::find_class(configuration, name);
  if (kind == nullptr || std::ranges::find(owner->classes, name) == owner->classes.end()) {
    return bad_request_error("the workspace has no request class \"" + name + '"');
  }
  const std::int64_t max_tokens =
      integer_field(value, "max_tokens").value_or(std::min(default_max_tokens, known->max_tokens));
  if (max_tokens < 1 || max_tokens > known->max_tokens) {
    return bad_request_error("\"max_tokens\" must be 1 to " + std::to_string(known->max_tokens));
  }
  const std::int64_t priority = integer_field(value, "priority").value_or(0);
  if (priority < 0 || priority > highest_priority) {
    return bad_request_error("\"priority\" must be 0 to " + std::to_string(highest_priority));
  }
  completion_request request;
  request.stream = bool_field(value, "stream").value_or(false);
  request.spec.workspace = workspace;
  request.spec.request_class = name;
  request.spec.interactive = kind->kind == config::request_kind::interactive;
  request.spec.cheap_allowed = kind->cheap_allowed;
  request.spec.pool = pool->name;
  request.spec.model = *model;
  request.spec.prompt = *prompt;
  request.spec.max_tokens = max_tokens;
  request.spec.priority = static_cast<int>(priority);
  // Without a seed the answer still has to continue on another endpoint after a failure.
  const auto fallback = static_cast<std::int64_t>(hash64(*prompt) >> 1U);
  request.spec.seed = integer_field(value, "seed").value_or(fallback);
  request.spec.deadline =
      now + (kind->deadline > milliseconds::zero() ? duration(kind->deadline) : default_deadline);
  return request;
}

} // namespace boragedoor::daemon
