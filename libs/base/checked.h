#pragma once

#include "base/finding.h"
#include "base/result.h"

namespace boragedoor {

/// Either a value that passed every check, or all findings of one run. Reading the value of a
/// failed result ends the program, as with `result`.
template <class T>
using checked =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, findings,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace boragedoor
