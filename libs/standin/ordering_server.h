#pragma once

#include <memory>
#include <string>

#include "standin/order_book.h"
#include "standin/ordering_state.h"
#include "standin/stand_in.h"

namespace boragedoor::standin {

struct ordering_options {
  net::address listen{"127.0.0.1", 0};
  fencing order_fencing = fencing::checked;
  duration start_time = duration::zero();
  duration drain_time = seconds(5);
};

/// The platform's interface that orders endpoints by data centre. Fencing tokens are compared
/// within one data centre. POST /reclaim `{"data_centre"}` takes its cheap endpoints back.
class ordering_server final : public stand_in {
public:
  static result<std::unique_ptr<ordering_server>> create(net::event_loop& loop,
                                                         const ordering_options& options);

  [[nodiscard]] ordering_state& state() { return state_; }
  [[nodiscard]] const order_book& orders() const { return orders_; }

private:
  ordering_server(net::event_loop& loop, const ordering_options& options);

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);
  void order(call& it);
  void execute(call& it, const std::string& order_id, const std::string& data_centre,
               const json& body);
  void replace(call& it);
  void reclaim(call& it);

  net::event_loop& loop_;
  ordering_state state_;
  order_book orders_;
};

} // namespace boragedoor::standin
