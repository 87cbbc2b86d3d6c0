#pragma once

#include <list>
#include <memory>
#include <string>

#include "standin/rate_limiter.h"
#include "standin/stand_in.h"
#include "standin/store_state.h"

namespace boragedoor::standin {

struct store_options {
  net::address listen{"127.0.0.1", 0};
  /// Calls per second that are answered; 0 sets no limit. A lease call is a write and a waiting
  /// watch is one read.
  double writes_per_second = 0;
  double reads_per_second = 0;
  /// Changes kept for watches.
  std::size_t history = 10000;
};

/// The platform's key-value store. Its content survives a crash.
class store_server final : public stand_in {
public:
  static result<std::unique_ptr<store_server>> create(net::event_loop& loop,
                                                      const store_options& options);

  /// The content, for tests.
  [[nodiscard]] store_state& state() { return state_; }

private:
  struct watch {
    std::shared_ptr<call> waiting;
    std::string prefix;
    std::int64_t after = 0;
    std::unique_ptr<net::timer> timeout;
  };

  store_server(net::event_loop& loop, const store_options& options);

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);
  bool limit(call& it, const std::string& kind);
  void get(call& it);
  void list(call& it);
  void put(call& it);
  void remove(call& it);
  void start_watch(const std::shared_ptr<call>& it);
  void answer_watch(call& it, const std::string& prefix, std::int64_t after);
  void create_lease(call& it);
  void renew_lease(call& it);
  void delete_lease(call& it);

  /// Answers the watches that a change concerns and sets the timer of the next lease expiry.
  void state_changed();

  net::event_loop& loop_;
  store_state state_;
  rate_limiter writes_;
  rate_limiter reads_;
  std::list<watch> watches_;
  net::timer expiry_timer_;
};

} // namespace boragedoor::standin
