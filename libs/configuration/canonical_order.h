#pragma once

#include "configuration/configuration.h"

namespace boragedoor::config {

/// Sorts all lists whose order has no meaning, so that equal configurations have equal text. The
/// order of a workspace's request classes has a meaning and is kept.
void put_in_canonical_order(configuration& it);

} // namespace boragedoor::config
