#pragma once

#include <memory>
#include <string>

#include "standin/rate_limiter.h"
#include "standin/stand_in.h"
#include "standin/weight_state.h"

namespace boragedoor::standin {

struct weight_options {
  net::address listen{"127.0.0.1", 0};
  /// Downloads per second that are answered; 0 sets no limit.
  double downloads_per_second = 0;
};

/// The weight store. A download answers with a description in place of the weights.
class weight_server final : public stand_in {
public:
  static result<std::unique_ptr<weight_server>> create(net::event_loop& loop,
                                                       const weight_options& options);

  [[nodiscard]] weight_state& state() { return state_; }

private:
  weight_server(net::event_loop& loop, const weight_options& options);

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);
  void publish(call& it);
  void latest(call& it);
  void download(call& it);

  net::event_loop& loop_;
  weight_state state_;
  rate_limiter downloads_;
};

} // namespace boragedoor::standin
