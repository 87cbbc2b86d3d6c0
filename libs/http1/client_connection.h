#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "http1/byte_budget.h"
#include "http1/call.h"
#include "http1/parser.h"
#include "net/event_loop.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace boragedoor::http1 {

/// One connection to a server. It carries one call at a time and may be kept for the next.
///
/// Design note: a connection whose call ends without its whole response is reset, however the call
/// ends and also if the process is killed. The system drops what it has not delivered, so a call
/// that was given up while the link was cut does not run when the link is back. A connection whose
/// response came whole has nothing to take back and is closed in order, as are those of callers
/// (`server_connection`), where a reset could destroy a response that is on its way.
class client_connection : public call, public std::enable_shared_from_this<client_connection> {
public:
  /// `on_idle` is called when the connection may carry another call, `on_closed` when it may not.
  struct owner {
    std::function<void(const std::shared_ptr<client_connection>&)> on_idle;
    std::function<void(client_connection&)> on_closed;
  };

  client_connection(net::event_loop& loop, const owner& pool, std::shared_ptr<byte_budget> budget,
                    net::address target);
  ~client_connection() override;
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;
  client_connection(client_connection&&) = delete;
  client_connection& operator=(client_connection&&) = delete;

  /// Starts a call on an idle connection; the first one opens it.
  void start(call_spec spec, call_callbacks callbacks);
  void cancel() override;
  /// Closes without a callback.
  void close();

  [[nodiscard]] const net::address& target() const { return target_; }
  /// Whether one of the connection's last calls had this response id; false for an empty one.
  [[nodiscard]] bool has_carried(std::string_view response_id) const;
  /// When the connection became idle, for its age.
  [[nodiscard]] time_point idle_since() const { return idle_since_; }
  /// How long the server keeps it, by the last response.
  [[nodiscard]] duration keep_for() const { return keep_for_; }

private:
  static void on_read(bufferevent* bev, void* self);
  static void on_event(bufferevent* bev, short what, void* self);
  static void on_output(evbuffer* output, const evbuffer_cb_info* info, void* self);

  void connect();
  void write_request();
  void read_input();
  /// Whether the end of the connection completes a response that has no length: the server ended
  /// its side in order, and it had received the whole request. A server that ends earlier may still
  /// reset the connection, and one that crashes ends its side in the same way.
  [[nodiscard]] bool ends_in_order(short what) const;
  bool take_head(const message_head& head);
  void take_data(std::string_view data);
  [[nodiscard]] bool collects_body() const { return !callbacks_.on_data && spec_.collect_body; }
  [[nodiscard]] bool has_too_much_overhead() const {
    return head_bytes_ > max_head_bytes + max_overhead_per_body_byte * body_bytes_;
  }
  void take_complete();
  void fail(call_outcome outcome);
  void end(call_outcome outcome);
  void retire();

  net::event_loop& loop_;
  const owner& pool_;
  std::shared_ptr<byte_budget> budget_;
  net::address target_;
  byte_account input_account_;
  byte_account output_account_;
  bufferevent* bev_ = nullptr;
  std::unique_ptr<parser> parser_;
  net::timer timer_;
  net::timer total_timer_;
  call_spec spec_;
  call_callbacks callbacks_;
  response response_;
  std::size_t body_bytes_ = 0;
  /// Bytes of the request's body, if it is shared.
  std::size_t shared_bytes_ = 0;
  /// Bytes of the call's responses that were not of a body.
  std::size_t head_bytes_ = 0;
  int skipped_responses_ = 0;
  /// Hashes of the response ids of the last calls.
  std::vector<std::uint64_t> carried_;
  bool active_ = false;
  bool connected_ = false;
  /// Whether a request was written whose response has not come whole.
  bool awaits_response_ = false;
  bool resets_on_close_ = false;
  bool skipping_ = false;
  bool message_done_ = false;
  bool too_large_ = false;
  bool keep_alive_ = false;
  time_point idle_since_{};
  duration keep_for_{};
};

} // namespace boragedoor::http1
