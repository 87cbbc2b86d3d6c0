#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/engine_state.h"
#include "standin/order_book.h"
#include "standin/stand_in.h"

namespace boragedoor::standin {

struct engine_options {
  net::address listen{"127.0.0.1", 0};
  /// Name in load reports.
  std::string endpoint = "engine";
  /// Model that is served; empty serves any.
  std::string model;
  fencing order_fencing = fencing::checked;
  engine_settings engine;
};

/// A model engine. A crash loses what the process held in memory; the orders received and the
/// greatest fencing token survive it.
class engine_server final : public stand_in {
public:
  static result<std::unique_ptr<engine_server>> create(net::event_loop& loop,
                                                       const engine_options& options);

  /// Changes at each crash, and differs between processes.
  [[nodiscard]] const std::string& incarnation() const { return incarnation_; }

  [[nodiscard]] engine_state& state() { return state_; }
  [[nodiscard]] const order_book& orders() const { return orders_; }

private:
  // A completion in progress.
  struct completion {
    std::shared_ptr<call> caller;
    bool stream = false;
    std::string prompt;
    std::string text;
  };

  engine_server(net::event_loop& loop, const engine_options& options);

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);
  void crashed();

  void complete(const std::shared_ptr<call>& it);
  bool refuse(call& it, const json& body);
  void order(const std::shared_ptr<call>& it);
  void execute(const std::shared_ptr<call>& it, const std::string& order_id, const json& body);
  void load(call& it);
  void cache_call(call& it, const std::string& kind);

  void pump();
  void apply(const request_started& it);
  void apply(const token_made& it);
  void apply(const request_finished& it);
  void apply(const swap_finished& it);

  net::event_loop& loop_;
  engine_options options_;
  engine_state state_;
  order_book orders_;
  std::string incarnation_;
  std::int64_t crashes_ = 0;
  std::map<std::uint64_t, completion> completions_;
  // Callers that wait for the end of a load order.
  std::map<std::string, std::vector<std::shared_ptr<call>>> order_callers_;
  net::timer step_timer_;
};

} // namespace boragedoor::standin
