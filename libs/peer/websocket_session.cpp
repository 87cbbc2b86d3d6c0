#include "peer/websocket_session.h"

#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace boragedoor::peer {

namespace {

// A snapshot of the configuration (at most 1 MB in the store) must fit into one message.
constexpr std::size_t max_message_bytes = 4UL * 1024 * 1024;

/// The part that both sides share. `Endpoint` is websocketpp's client or server.
template <class Endpoint>
class session final : public websocket_session {
public:
  using connection_ptr = typename Endpoint::connection_ptr;
  using message_ptr = typename Endpoint::message_ptr;

  explicit session(websocket_callbacks callbacks) : callbacks_(std::move(callbacks)) {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
    endpoint_.set_max_message_size(max_message_bytes);
    endpoint_.set_write_handler(
        [this](const websocketpp::connection_hdl&, const char* data, std::size_t n) {
          callbacks_.on_output(data, n);
          return websocketpp::lib::error_code();
        });
    endpoint_.set_open_handler(
        [this](const websocketpp::connection_hdl&) { callbacks_.on_open(); });
    endpoint_.set_message_handler([this](const websocketpp::connection_hdl&, message_ptr message) {
      callbacks_.on_message(message->get_payload());
    });
    endpoint_.set_close_handler([this](const websocketpp::connection_hdl&) { report_closed(); });
    endpoint_.set_fail_handler([this](const websocketpp::connection_hdl&) { report_closed(); });
  }

  Endpoint& endpoint() { return endpoint_; }
  void set_connection(connection_ptr connection) { connection_ = std::move(connection); }

  void receive(const char* data, std::size_t n) override { connection_->read_all(data, n); }

  bool send(const std::string& message) override {
    websocketpp::lib::error_code ec =
        connection_->send(message, websocketpp::frame::opcode::binary);
    return !ec;
  }

  void close() override {
    websocketpp::lib::error_code ec;
    connection_->close(websocketpp::close::status::going_away, "", ec);
  }

  void end_of_input() override { connection_->eof(); }

private:
  void report_closed() {
    if (!closed_) {
      closed_ = true;
      callbacks_.on_closed();
    }
  }

  websocket_callbacks callbacks_;
  Endpoint endpoint_;
  connection_ptr connection_;
  bool closed_ = false;
};

using client_endpoint = websocketpp::client<websocketpp::config::core_client>;
using server_endpoint = websocketpp::server<websocketpp::config::core>;

} // namespace

std::unique_ptr<websocket_session> websocket_session::connect(const std::string& host,
                                                              websocket_callbacks callbacks) {
  auto it = std::make_unique<session<client_endpoint>>(std::move(callbacks));
  websocketpp::lib::error_code ec;
  auto connection = it->endpoint().get_connection("ws://" + host + "/", ec);
  if (ec) {
    return nullptr;
  }
  it->set_connection(connection);
  it->endpoint().connect(connection);
  return it;
}

std::unique_ptr<websocket_session> websocket_session::accept(websocket_callbacks callbacks) {
  auto it = std::make_unique<session<server_endpoint>>(std::move(callbacks));
  auto connection = it->endpoint().get_connection();
  it->set_connection(connection);
  connection->start();
  return it;
}

} // namespace boragedoor::peer
