#include "configuration/elements.h"

#include <initializer_list>

namespace boragedoor::config {

namespace {

template <class T>
std::optional<T> parse_choice(std::string_view text, std::initializer_list<T> choices) {
  for (const T it : choices) {
    if (to_string(it) == text) {
      return it;
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view to_string(order_fencing it) {
  return it == order_fencing::checks_token ? "checks_token" : "ignores_token";
}

std::string_view to_string(request_kind it) {
  switch (it) {
  case request_kind::interactive:
    return "interactive";
  case request_kind::rollout:
    return "rollout";
  case request_kind::background:
    return "background";
  }
  return "unknown";
}

std::string_view to_string(isolation_policy it) {
  return it == isolation_policy::refuse ? "refuse" : "serve";
}

std::optional<order_fencing> parse_order_fencing(std::string_view text) {
  using enum order_fencing;
  return parse_choice(text, {checks_token, ignores_token});
}

std::optional<request_kind> parse_request_kind(std::string_view text) {
  using enum request_kind;
  return parse_choice(text, {interactive, rollout, background});
}

std::optional<isolation_policy> parse_isolation_policy(std::string_view text) {
  using enum isolation_policy;
  return parse_choice(text, {refuse, serve});
}

} // namespace boragedoor::config
