#pragma once

#include <memory>
#include <string>

#include "standin/stand_in.h"
#include "standin/usage_state.h"

namespace boragedoor::standin {

struct usage_options {
  net::address listen{"127.0.0.1", 0};
};

/// The usage intake. It ignores fencing tokens and keeps every report, so that tests can judge
/// what arrived.
class usage_server final : public stand_in {
public:
  static result<std::unique_ptr<usage_server>> create(net::event_loop& loop,
                                                      const usage_options& options);

  [[nodiscard]] const usage_state& state() const { return state_; }

private:
  usage_server() = default;

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);

  usage_state state_;
};

} // namespace boragedoor::standin
