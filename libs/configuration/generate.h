#pragma once

#include "configuration/configuration.h"
#include "configuration/questionnaire.h"

namespace boragedoor::config {

/// Derives a configuration from a questionnaire. Workspaces that `previous` also has keep their
/// issued keys, and the revision is the previous one. The same arguments give the same result;
/// the proposal id is left empty.
configuration generate(const questionnaire& answers, const configuration& previous);

} // namespace boragedoor::config
