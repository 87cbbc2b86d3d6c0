#include "daemon/access_control.h"

#include "base/hash.h"

namespace boragedoor::daemon {

namespace {

std::string_view bearer_token(const net::headers& fields) {
  constexpr std::string_view scheme = "Bearer ";
  const std::string_view value = net::find_header(fields, "Authorization");
  return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

} // namespace

BOOST_OUTCOME_V2_NAMESPACE::basic_result<config::key_owner, api_error,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>
access_control::authenticate(const net::headers& fields) const {
  if (!configuration_) {
    return unavailable_error("not_ready", "this instance has no configuration yet", seconds(1));
  }
  if (!fresh_ && configuration_->on_isolation == config::isolation_policy::refuse) {
    return unavailable_error(
        "isolated", "this instance lost contact with the others and cannot check keys; ask another",
        seconds(1));
  }
  const auto owner = config::authenticate(*configuration_, bearer_token(fields));
  if (!owner || withdrawn_.contains(owner->key_id)) {
    return unauthorized_error();
  }
  return *owner;
}

bool access_control::is_operator(const net::headers& fields) const {
  const std::string_view token = bearer_token(fields);
  return !token.empty() && constant_time_equal(sha256_hex(token), operator_token_sha256_);
}

} // namespace boragedoor::daemon
