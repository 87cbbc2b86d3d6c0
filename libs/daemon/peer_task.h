#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "daemon/daemon_context.h"
#include "daemon/membership_task.h"
#include "peer/peer_link.h"

namespace boragedoor::daemon {

/// How a call to another instance ended.
struct peer_reply {
  /// The answer; nothing when there was none in time.
  std::optional<json> answer;
  /// The connection was refused: no process listens at the address.
  bool refused = false;
};

/// Owns the connections to other instances: one to each overlay neighbour, and short-lived ones
/// for calls to any instance.
class peer_task {
public:
  using answer_function = std::function<void(const json& answer)>;

  /// Listens for other instances. Fails with `io` when the address is in use.
  static result<std::unique_ptr<peer_task>> create(const daemon_context& context);
  ~peer_task();
  peer_task(const peer_task&) = delete;
  peer_task& operator=(const peer_task&) = delete;
  peer_task(peer_task&&) = delete;
  peer_task& operator=(peer_task&&) = delete;

  [[nodiscard]] const net::address& local_address() const;

  /// Takes over the platform's list, for the addresses.
  void on_list(std::span<const listed_instance> list);
  /// Sets the instances to keep a connection to. Of two neighbours the one with the lower id
  /// connects.
  void set_neighbours(std::span<const std::string> ids);

  /// Sends a message to a connected neighbour; false when there is no connection.
  bool send(const std::string& peer, const json& message);
  /// Sends a message to every connected neighbour but one.
  void broadcast(const json& message, const std::string& except = {});

  /// Sends a request to any address and waits for its answer. The connection is kept for a while.
  void call(const net::address& target, json request, duration timeout,
            std::function<void(const peer_reply&)> done);

  /// A message from a neighbour: its id and the message.
  sigc::signal<void(const std::string&, const json&)>& received() { return received_; }
  /// A request from any instance: its id, the request and the function that answers it.
  sigc::signal<void(const std::string&, const json&, const answer_function&)>& called() {
    return called_;
  }
  sigc::signal<void(const std::string&)>& connected() { return connected_; }
  sigc::signal<void(const std::string&)>& disconnected() { return disconnected_; }

  /// Bytes sent and received over all links so far, for the control budget.
  [[nodiscard]] std::size_t control_bytes() const;

private:
  explicit peer_task(const daemon_context& context);

  /// A link and what is known of its other side.
  struct connection {
    std::shared_ptr<peer::peer_link> link;
    std::string peer;
    bool open = false;
  };
  /// A link that another instance opened.
  struct incoming_link {
    std::weak_ptr<peer::peer_link> link;
    /// Empty until the other side has said who it is.
    std::string peer;
    bool is_neighbour = false;
  };
  /// A connection for calls to one address.
  struct caller {
    std::shared_ptr<peer::peer_link> link;
    bool open = false;
    std::vector<json> waiting;
    time_point last_used;
  };
  struct pending_call {
    net::address target;
    std::function<void(const peer_reply&)> done;
    time_point deadline;
  };

  void accept(const std::shared_ptr<peer::peer_link>& link);
  void on_incoming(incoming_link& it, const json& message);
  void tick();
  void connect_missing();
  void attach(const std::string& id, const std::shared_ptr<peer::peer_link>& link);
  void on_neighbour_message(const std::string& id, const json& message);
  void on_neighbour_closed(const std::string& id, const peer::peer_link* link);
  void receive_request(const std::shared_ptr<peer::peer_link>& link, const std::string& from,
                       const json& message);
  caller& caller_for(const net::address& target);
  void finish_call(std::uint64_t number, const peer_reply& reply);
  void fail_calls(const net::address& target, bool refused);
  [[nodiscard]] json hello() const;
  void count(const peer::peer_link& link);

  const daemon_context& context_;
  std::unique_ptr<peer::peer_listener> listener_;
  net::timer timer_;
  std::map<std::string, net::address> addresses_;
  std::set<std::string> neighbours_;
  std::map<std::string, connection> links_;
  std::set<std::shared_ptr<peer::peer_link>> unnamed_;
  std::map<net::address, caller> callers_;
  std::map<std::uint64_t, pending_call> calls_;
  std::uint64_t last_call_ = 0;
  std::size_t closed_bytes_ = 0;
  sigc::signal<void(const std::string&, const json&)> received_;
  sigc::signal<void(const std::string&, const json&, const answer_function&)> called_;
  sigc::signal<void(const std::string&)> connected_;
  sigc::signal<void(const std::string&)> disconnected_;
};

} // namespace boragedoor::daemon
