#pragma once

#include <string>
#include <string_view>
#include <utility>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace boragedoor {

/// Stable classes of failure. The text form (see `to_string`) is part of the HTTP interface.
enum class error_code {
  invalid_argument,
  not_found,
  conflict,
  unauthorized,
  unavailable,
  timeout,
  overloaded,
  stale_token,
  outcome_unknown,
  protocol,
  cancelled,
  io,
};

/// Returns the stable text form of a code, for example "not_found".
std::string_view to_string(error_code code);

/// A failure: its class and a message that says what to do about it where that is known.
struct error {
  error_code code = error_code::invalid_argument;
  std::string message;

  friend bool operator==(const error&, const error&) = default;
};

/// Either a value or an `error`. Reading the value of a failed result ends the program, so check
/// first or use BOOST_OUTCOME_TRY.
template <class T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The value that a function returning `result<void>` returns when it succeeded.
inline auto success() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace boragedoor
