#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "child_process.h"
#include "http1/client.h"
#include "http1/raw_peer.h"
#include "http1/server.h"
#include "replica_stand_in.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

/// A test waits this long for what has to happen; on a slow machine too it is far from it.
inline constexpr duration wait_limit = seconds(120);
/// How long a crowd stays connected after all that it can send is sent.
inline constexpr duration crowd_stay = seconds(3);

/// Limits of the tests' machine and configuration: low ones, so that a small crowd reaches them.
inline constexpr std::size_t memory_mb = 64;
inline constexpr std::size_t memory_bytes = memory_mb * 1024 * 1024;
inline constexpr std::size_t max_header_bytes = 16UL * 1024;
inline constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;
/// Descriptors of the machine, of which the platform keeps 200 for files.
inline constexpr std::size_t max_descriptors = 4100;
inline constexpr std::size_t reserved_descriptors = 200;

/// What the tests' machine states otherwise than by default.
struct machine_options {
  std::size_t descriptors = max_descriptors;
  int grace_period_s = 8;
};

/// One started instance and what was seen of it.
struct crowd_instance {
  std::string name;
  net::address callers;
  net::address readiness;
  net::address lookup;
  net::address metrics;
  std::unique_ptr<child_process> process;
  std::size_t descriptors = max_descriptors;
  /// Most memory with what had arrived and was not read, and most descriptors, of all samples.
  std::size_t peak_memory = 0;
  std::size_t peak_descriptors = 0;
};

using raw_caller = std::unique_ptr<http1::raw_connection>;

/// Instances as processes of their own, with the platform's services in this process.
class crowd_fixture {
public:
  crowd_fixture();
  ~crowd_fixture();
  crowd_fixture(const crowd_fixture&) = delete;
  crowd_fixture& operator=(const crowd_fixture&) = delete;
  crowd_fixture(crowd_fixture&&) = delete;
  crowd_fixture& operator=(crowd_fixture&&) = delete;

  /// Starts an instance and waits until it answers an ordinary request.
  crowd_instance& start(const std::string& name, const machine_options& options = {});

  /// Connects callers that send the same bytes. Those that do not read leave their answers where
  /// they are.
  void add_callers(const net::address& to, std::size_t count, std::string_view bytes, bool reads);
  raw_caller& add_caller(const net::address& to, std::string_view bytes, bool reads);
  /// Waits until the crowd has sent what it can send, and stays connected for a while.
  void let_crowd_act();
  void run(duration time);

  /// Returns the status of an ordinary small request; 0 if there is no answer.
  int ordinary_status(const crowd_instance& at);
  http1::response call(const net::address& to, http1::request message);

  /// Checks after a crowd, while it is still connected and after it has left: the process lives,
  /// stays within its limits, answers an ordinary request, and stops when it is asked to.
  void check_holds(crowd_instance& it);
  /// Asks the process to stop and checks that it ends by itself.
  void check_stops(crowd_instance& it);

  std::unique_ptr<net::event_loop> loop;
  store_stand_in store;
  std::unique_ptr<replica_stand_in> plain;
  std::vector<raw_caller> crowd;

private:
  void sample();
  bool try_start(crowd_instance& it, const machine_options& options);

  std::string folder_;
  std::unique_ptr<http1::server> cloud_;
  http1::client caller_;
  std::vector<std::unique_ptr<crowd_instance>> instances_;
  net::timer sample_timer_;
};

/// The head of a caller's request.
std::string request_head(std::string_view method, std::string_view target, std::string_view id,
                         std::string_view more = {});
/// A whole request to submit a job of about `bytes`, in 24 items.
std::string job_submission(const std::string& id, std::size_t bytes, int step);
/// The status of the first answer that a caller has received; 0 for none.
int received_status(const raw_caller& it);

} // namespace boragedoor::platform
