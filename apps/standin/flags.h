#pragma once

#include "base/result.h"
#include "standin/engine_server.h"
#include "standin/instance_server.h"
#include "standin/ordering_server.h"
#include "standin/service_server.h"
#include "standin/store_server.h"
#include "standin/usage_server.h"
#include "standin/weight_server.h"

namespace boragedoor::standin {

/// What the command line asks for, with every stand-in's options.
struct program_options {
  net::address listen;
  store_options store;
  engine_options engine;
  service_options service;
  ordering_options ordering;
  usage_options usage;
  instance_options instances;
  weight_options weights;
  /// File that fills the ordering stand-in; empty for none.
  std::string endpoints_file;
  /// Engines and services that "all" starts.
  int engines = 2;
  int services = 1;
};

/// Reads the flags. Fails with `invalid_argument` when --listen or --fencing is malformed.
result<program_options> read_flags();

} // namespace boragedoor::standin
