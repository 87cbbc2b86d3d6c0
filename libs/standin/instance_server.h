#pragma once

#include <memory>
#include <string>

#include "standin/instance_state.h"
#include "standin/stand_in.h"

namespace boragedoor::standin {

struct instance_options {
  net::address listen{"127.0.0.1", 0};
  duration lag = seconds(2);
};

/// The platform's list of live and leaving instances.
class instance_server final : public stand_in {
public:
  static result<std::unique_ptr<instance_server>> create(net::event_loop& loop,
                                                         const instance_options& options);

  [[nodiscard]] instance_state& state() { return state_; }

private:
  instance_server(net::event_loop& loop, const instance_options& options);

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);
  void put(call& it);

  net::event_loop& loop_;
  instance_state state_;
};

} // namespace boragedoor::standin
