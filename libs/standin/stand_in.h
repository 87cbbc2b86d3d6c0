#pragma once

#include <memory>
#include <utility>

#include "standin/faulty_server.h"

namespace boragedoor::standin {

/// What every stand-in offers to the program and to tests in the same process.
class stand_in {
public:
  virtual ~stand_in() = default;
  stand_in(const stand_in&) = delete;
  stand_in& operator=(const stand_in&) = delete;
  stand_in(stand_in&&) = delete;
  stand_in& operator=(stand_in&&) = delete;

  [[nodiscard]] const net::address& local_address() const { return http_->local_address(); }

  /// The server, for faults and statistics.
  [[nodiscard]] faulty_server& http() { return *http_; }
  [[nodiscard]] const faulty_server& http() const { return *http_; }

protected:
  stand_in() = default;

  /// Starts to listen; called once by the static factories.
  result<void> start(net::event_loop& loop, const net::address& listen, call_rules rules) {
    BOOST_OUTCOME_TRY(server, faulty_server::create(loop, listen, std::move(rules)));
    http_ = std::move(server);
    return success();
  }

private:
  std::unique_ptr<faulty_server> http_;
};

} // namespace boragedoor::standin
