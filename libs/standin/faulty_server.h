#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "standin/call.h"
#include "standin/fault_plan.h"
#include "standin/reserved_port.h"

namespace boragedoor::standin {

/// Names the kind of a call for GET /stats and for faults that apply to one kind only.
using call_classifier = std::function<std::string(const net::http_request&)>;
using call_handler = std::function<void(const std::shared_ptr<call>&)>;

/// What a stand-in does with its calls.
struct call_rules {
  call_classifier classify;
  call_handler handle;
  /// Called when a crash is ordered, before the connections drop. May be empty.
  std::function<void()> on_crash;
};

/// The HTTP server of a stand-in: it counts calls and brings faults about. It answers POST and
/// DELETE /fault and GET /stats itself, faults or not, except while the port refuses connections.
class faulty_server {
public:
  static result<std::unique_ptr<faulty_server>>
  create(net::event_loop& loop, const net::address& listen, call_rules rules);
  ~faulty_server();
  faulty_server(const faulty_server&) = delete;
  faulty_server& operator=(const faulty_server&) = delete;
  faulty_server(faulty_server&&) = delete;
  faulty_server& operator=(faulty_server&&) = delete;

  [[nodiscard]] const net::address& local_address() const;

  /// Starts a fault, as POST /fault does.
  void apply(fault it);

  /// Removes all faults, as DELETE /fault does. A stand-in that is down stays down for its time.
  std::size_t clear_faults() { return plan_.clear(); }

  /// Drops all connections and refuses new ones for a while.
  void crash(duration length);

  /// Faults that a stand-in brings about itself.
  fault_plan& plan() { return plan_; }

  /// The body of GET /stats.
  [[nodiscard]] json stats() const;

  [[nodiscard]] bool is_down() const { return down_; }

  /// Calls `fn` after `delay`, unless the stand-in crashes before.
  void run_after(duration delay, const std::function<void()>& fn);

private:
  // A server and whether its connections have gone silent. Connections that are silent stay with
  // their server, while a new one takes over the port.
  struct generation {
    std::unique_ptr<net::http_server> server;
    std::shared_ptr<bool> silent;
  };

  faulty_server(net::event_loop& loop, std::unique_ptr<reserved_port> port, call_rules rules);

  result<void> start_listening();
  void go_down(duration length);
  void drop_connections();
  void silence_connections();

  void receive(const std::shared_ptr<net::http_exchange>& exchange,
               const std::shared_ptr<bool>& silent);
  bool control(net::http_exchange& exchange);
  void control_faults(net::http_exchange& exchange);
  bool refuse(net::http_exchange& exchange, std::string_view kind);
  call_behaviour draw_behaviour(const net::http_request& request, std::string_view kind);
  void draw_stall(call_behaviour& behaviour, std::string_view kind, bool& executed);
  void dispatch(const std::shared_ptr<call>& it, std::string_view kind);
  void keep(const std::shared_ptr<call>& it);

  net::event_loop& loop_;
  std::unique_ptr<reserved_port> port_;
  call_rules rules_;
  fault_plan plan_;
  std::map<std::string, std::int64_t, std::less<>> calls_;
  std::string last_attempt_;
  std::list<std::unique_ptr<net::timer>> delayed_;
  std::unordered_set<std::shared_ptr<call>> kept_;
  std::vector<generation> generations_;
  net::timer down_timer_;
  net::timer up_timer_;
  bool down_ = false;
  bool vanished_ = false;
};

} // namespace boragedoor::standin
