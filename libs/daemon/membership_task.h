#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "daemon/daemon_context.h"
#include "net/http_types.h"

namespace boragedoor::daemon {

/// An instance as the platform's list shows it.
struct listed_instance {
  std::string id;
  net::address callers;
  net::address peers;
  std::string data_centre;
  std::string region;
  bool leaving = false;

  friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// Polls the platform's lagging list of instances. Keeps the last list when a poll fails.
class membership_task {
public:
  explicit membership_task(const daemon_context& context);

  void start();

  /// Emitted with the whole list, sorted by id, whenever it differs from the last one.
  sigc::signal<void(const std::vector<listed_instance>&)>& changed() { return changed_; }

  /// Emitted after each successful poll with the list's lag.
  sigc::signal<void(const std::vector<listed_instance>&, duration)>& polled() { return polled_; }

private:
  void poll();
  void accept(const json& value);

  const daemon_context& context_;
  net::timer timer_;
  std::vector<listed_instance> list_;
  bool known_ = false;
  sigc::signal<void(const std::vector<listed_instance>&)> changed_;
  sigc::signal<void(const std::vector<listed_instance>&, duration)> polled_;
};

} // namespace boragedoor::daemon
