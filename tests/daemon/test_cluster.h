#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "daemon/daemon.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/engine_server.h"
#include "standin/instance_server.h"
#include "standin/ordering_server.h"
#include "standin/service_server.h"
#include "standin/store_server.h"
#include "standin/usage_server.h"
#include "standin/weight_server.h"

namespace boragedoor::testing {

struct cluster_options {
  int instances = 3;
  int engines = 2;
  int services = 1;
  /// Data centres "dc-0", "dc-1", ... that instances and endpoints are spread over.
  int data_centres = 2;
  std::string engine_fencing = "checks_token";
  std::int64_t usage_window_ms = 60'000;
  duration usage_grace = seconds(1);
  duration list_lag = milliseconds(100);
  duration progress_timeout = seconds(2);
  standin::engine_settings engine;
};

/// An answer of an HTTP call.
struct http_answer {
  int status = 0;
  net::headers fields;
  std::string body;
  /// Set when there was no whole answer.
  std::optional<net::http_failure> failure;

  [[nodiscard]] json value() const { return parse_json(body).value(); }
  /// The "code" of an error answer; empty for others.
  [[nodiscard]] std::string error_code() const;
  [[nodiscard]] std::string executed() const;
};

/// Stand-ins and instances in one process and on one event loop. All ports are free ones.
class test_cluster {
private:
  // Declared first, because everything else needs the loop until it is destroyed.
  cluster_options options_;
  std::unique_ptr<net::event_loop> loop_;
  std::unique_ptr<net::http_client> http_;

public:
  explicit test_cluster(const cluster_options& options = {});
  ~test_cluster();
  test_cluster(const test_cluster&) = delete;
  test_cluster& operator=(const test_cluster&) = delete;
  test_cluster(test_cluster&&) = delete;
  test_cluster& operator=(test_cluster&&) = delete;

  /// Runs the loop until `done` or a generous limit; returns whether it was done. The limit only
  /// ends a test that has failed, so it is no bound on behaviour.
  bool await(const std::function<bool()>& done, duration limit = seconds(30));
  /// Runs the loop for a while.
  void run_for(duration length);

  http_answer call(const net::address& target, const std::string& method, const std::string& path,
                   const std::string& body = {}, net::headers fields = {});
  /// A call with a workspace key to an instance.
  http_answer call_with_key(std::size_t instance, const std::string& method,
                            const std::string& path, const json& body, const std::string& key,
                            net::headers fields = {});
  /// A call as operator to an instance.
  http_answer operate(std::size_t instance, const std::string& method, const std::string& path,
                      const json& body = json::object());

  /// Proposes the first configuration and waits until it is in force on every instance.
  void configure();
  /// Issues a key and waits until it is in force on every instance.
  std::string issue_key(const std::string& workspace);
  [[nodiscard]] json questionnaire() const;
  /// Waits until every instance has this revision in force.
  bool await_revision(std::uint64_t revision);
  /// Waits until every shard has a holder.
  bool await_shards();

  std::size_t add_instance();
  void stop_instance(std::size_t n);
  [[nodiscard]] net::address address_of(std::size_t n) const;
  daemon::daemon& instance(std::size_t n) { return *instances_.at(n).process; }
  [[nodiscard]] std::size_t size() const { return instances_.size(); }

  net::event_loop& loop() { return *loop_; }
  net::http_client& http() { return *http_; }

  std::unique_ptr<standin::store_server> store;
  std::unique_ptr<standin::instance_server> list;
  std::unique_ptr<standin::ordering_server> ordering;
  std::unique_ptr<standin::usage_server> intake;
  std::unique_ptr<standin::weight_server> weights;
  std::vector<std::unique_ptr<standin::engine_server>> engines;
  std::vector<std::unique_ptr<standin::service_server>> services;

  static constexpr const char* operator_token = "test-operator-token";

private:
  struct running_instance {
    std::string id;
    std::unique_ptr<daemon::daemon> process;
  };

  [[nodiscard]] std::string data_centre(int n) const;
  [[nodiscard]] settings::daemon_settings settings_for(const std::string& id, int n) const;
  void create_endpoints();

  std::vector<running_instance> instances_;
};

} // namespace boragedoor::testing
