#pragma once

#include "net/event_loop.h"

namespace boragedoor::standin {

/// Runs the trainer that the flags describe and prints its summary as one line of JSON. Returns
/// the exit code: 0 when everything held, 1 after a violation or an early stop, 2 on wrong flags.
int run_trainer(net::event_loop& loop);

} // namespace boragedoor::standin
