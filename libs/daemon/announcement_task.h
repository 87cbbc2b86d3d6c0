#pragma once

#include <string>

#include <sigc++/sigc++.h>

#include "daemon/announcement_board.h"
#include "daemon/daemon_context.h"
#include "daemon/peer_task.h"

namespace boragedoor::daemon {

/// Floods announcements over the overlay. Lost messages are repaired by comparing digests.
class announcement_task {
public:
  announcement_task(const daemon_context& context, peer_task& peers);

  void start();

  /// Announces a fact of this instance.
  void announce(const announcement& it);

  /// Emitted for each fact that is new or newer, this instance's own included.
  sigc::signal<void(const announcement&)>& learned() { return learned_; }

private:
  void on_message(const std::string& peer, const json& message);
  void merge(const announcement& it, const std::string& from);
  void send_all(const std::string& peer);

  const daemon_context& context_;
  peer_task& peers_;
  net::timer timer_;
  announcement_board board_;
  sigc::signal<void(const announcement&)> learned_;
};

} // namespace boragedoor::daemon
