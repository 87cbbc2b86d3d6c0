#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "flags.h"

namespace boragedoor::standin {

/// Starts stand-ins and prints one line of JSON for each that is ready.
class launcher {
public:
  launcher(net::event_loop& loop, program_options options)
      : loop_(loop), options_(std::move(options)) {}

  /// Starts the stand-in of that name, or several for "all". Fails with `not_found` for an unknown
  /// name, `io` when it cannot listen or read the endpoint file, and `invalid_argument` when that
  /// file is malformed.
  result<void> start(std::string_view name);

private:
  result<void> start_one(std::string_view name, const net::address& listen);
  result<void> start_engine(const net::address& listen);
  result<void> start_service(const net::address& listen);
  result<void> start_ordering(const net::address& listen);
  result<void> start_all();
  result<void> fill(ordering_state& state) const;
  void ready(std::string_view name, std::unique_ptr<stand_in> it);

  // The entry of an endpoint that "all" started, for the ordering stand-in.
  [[nodiscard]] json describe(const std::string& kind, const stand_in& it) const;

  net::event_loop& loop_;
  program_options options_;
  std::vector<std::unique_ptr<stand_in>> running_;
  json endpoints_ = json::array();
};

} // namespace boragedoor::standin
