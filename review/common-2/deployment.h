// What the cases of the second review share: a small deployment on loopback addresses. The store,
// the duties' interface, the replicas and the clients run in this process; each instance is the
// program of the deploy file in a process of its own.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.h"
#include "base/json_fields.h"
#include "http1/client.h"
#include "http1/server.h"
#include "instance/error_response.h"
#include "net/event_loop.h"
#include "platform/base64.h"
#include "store_stand_in.h"

namespace review {

using namespace boragedoor;

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int could_not_run = 2;

inline std::string base64(std::string_view data) {
  std::string text;
  platform::append_base64(text, data);
  return text;
}

/// First of some ports in a row that are free now. They lie below those that the system gives to
/// outgoing connections.
inline int free_ports(int count) {
  static int next = 10'000 + static_cast<int>(getpid()) % 1000 * 20;
  const auto is_free = [](int port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    constexpr int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
    close(fd);
    return free;
  };
  for (int tries = 0; tries < 1000; ++tries) {
    const int first = next;
    next = next + count < 32'000 ? next + count : 10'000;
    int n = 0;
    while (n < count && is_free(first + n)) {
      ++n;
    }
    if (n == count) {
      return first;
    }
  }
  std::cerr << "no free ports\n";
  std::exit(could_not_run);
}

/// One process of the deploy file.
struct server_process {
  std::string name;
  pid_t pid = 0;
  int front = 0;
  int ready = 0;
  int lookup = 0;
  int internal = 0;
};

class deployment {
public:
  /// Reads the arguments: the program, the record and a temporary folder.
  deployment(int argc, char** argv)
      : loop(net::event_loop::create().value()), store(*loop), client(*loop) {
    if (argc < 4) {
      std::cerr << "usage: " << argv[0] << " PROGRAM RECORD FOLDER\n";
      std::exit(could_not_run);
    }
    program_ = argv[1];
    record_.open(argv[2]);
    folder_ = argv[3];
    const char* text = std::getenv("TROUBLE");
    trouble = text == nullptr || std::string(text) != "0";
    store.set_body_limit(64UL * 1024 * 1024);
    cloud_ = http1::server::listen(
                 *loop, {"127.0.0.1", 0},
                 [](const std::shared_ptr<http1::exchange>& it) { it->respond({200, {}, {}}); },
                 &boragedoor::instance::listener_refusal)
                 .value();
    note("disruption: {}", trouble ? "yes" : "no (TROUBLE=0)");
  }

  ~deployment() {
    for (const server_process& it : instances) {
      stop(it, SIGKILL);
    }
  }

  template <class... Arguments> void note(fmt::format_string<Arguments...> text, Arguments&&... of) {
    const auto passed = std::chrono::steady_clock::now() - start_;
    const double s = std::chrono::duration<double>(passed).count();
    const std::lock_guard lock(record_mutex_);
    record_ << fmt::format("{:7.3f} s  ", s) << fmt::format(text, std::forward<Arguments>(of)...)
            << std::endl;
  }

  /// Writes the settings of an instance and starts its process.
  server_process& start(const std::string& name, const std::string& zone = "z1", int memory_mb = 260) {
    const int port = free_ports(5);
    const server_process it{.name = name,
                            .front = port,
                            .ready = port + 1,
                            .lookup = port + 2,
                            .internal = port + 3};
    const auto at = [](int port) { return fmt::format("127.0.0.1:{}", port); };
    const json settings = {
        {"node_name", name},
        {"role", "instance"},
        {"machine_class", "front"},
        {"serves", {"front", "directory"}},
        {"ip", "127.0.0.1"},
        {"zone", zone},
        {"region", "r1"},
        {"zones", {{"z1", "r1"}, {"z2", "r1"}}},
        {"listen_addrs",
         {{"front", at(it.front)}, {"ready", at(it.ready)}, {"directory", at(it.lookup)}}},
        {"internal_ports", {it.internal, it.internal + 1}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"fault_counted", false},
        {"limits",
         {{"cpu_share", 0.25},
          {"cpu_cores", 1},
          {"memory_mb", memory_mb},
          {"max_fds", 4100},
          {"link_mbps", 1000.0},
          {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entry", "directory"},
        {"heartbeat_ms", 1200},
        {"bounds",
         {{"contact_ms", 3000},
          {"ack_ms", 4000},
          {"drain_ms", 2000},
          {"grace_period_s", 8},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 2000},
          {"require_fencing", true},
          {"lease_ttl_ms", 3000},
          {"usage_window_s", 5},
          {"usage_late_s", 10},
          {"cancel_ms", 3000},
          {"settle_ms", 1000},
          {"ttl_max_s", 5}}},
        {"platform",
         {{"address", net::to_string(store_address.value_or(store.address()))},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"retention_s", 20},
          {"value_bytes", 1048576},
          {"min_ttl_ms", 1000}}},
        {"cloud_api",
         {{"address", net::to_string(cloud_->local_address())},
          {"rate_per_s", 50.0},
          {"duties", {"usage", "autoscale"}},
          {"duty_per_s", 50.0}}}};
    std::ofstream(settings_path(name)) << to_text(settings);
    instances.push_back(it);
    restart(instances.size() - 1);
    note("started instance {} (zone {}, memory_mb {})", name, zone, memory_mb);
    return instances.back();
  }

  /// Starts the process of an instance, again with its settings.
  void restart(std::size_t n) {
    server_process& it = instances[n];
    const std::string path = settings_path(it.name);
    const std::string log = fmt::format("{}/{}.log", folder_, it.name);
    it.pid = fork();
    if (it.pid != 0) {
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // Sockets of the stand-ins must close when these close them.
    close_range(3, ~0U, 0);
    if (freopen(log.c_str(), "a", stdout) == nullptr ||
        freopen(log.c_str(), "a", stderr) == nullptr) {
      _exit(could_not_run);
    }
    const std::string variable = "BORAGEDOOR_NODE_FILE=" + path;
    const char* const environment[] = {"PATH=/usr/bin:/bin", "LANG=C", variable.c_str(), nullptr};
    const char* const words[] = {program_.c_str(), nullptr};
    execve(program_.c_str(), const_cast<char* const*>(words),
           const_cast<char* const*>(environment));
    _exit(could_not_run);
  }

  void stop(const server_process& it, int signal_number) {
    if (it.pid > 0 && kill(it.pid, signal_number) == 0 && signal_number == SIGKILL) {
      waitpid(it.pid, nullptr, 0);
    }
  }

  /// Lets the loop run for a time.
  void pass(duration time) {
    loop->run_until([] { return false; }, time);
  }

  bool wait(const std::function<bool()>& done, duration limit) {
    return loop->run_until(done, limit);
  }

  struct answer {
    http1::call_outcome outcome = http1::call_outcome::timed_out;
    http1::response response;
  };

  /// Sends a message on a new connection and waits for the answer.
  answer call(int port, http1::request message, duration limit = seconds(5)) {
    std::optional<answer> out;
    send(port, std::move(message), [&out](answer it) { out = std::move(it); }, limit);
    loop->run_until([&] { return out.has_value(); }, limit + seconds(1));
    return out.value_or(answer());
  }

  void send(int port, http1::request message, std::function<void(answer)> done,
            duration limit = seconds(5)) {
    http1::call_spec spec;
    spec.target = {"127.0.0.1", static_cast<std::uint16_t>(port)};
    spec.message = std::move(message);
    spec.new_connection = true;
    spec.progress_timeout = limit;
    http1::call_callbacks callbacks;
    callbacks.on_end = [done = std::move(done)](http1::call_outcome outcome, http1::response it) {
      done({outcome, std::move(it)});
    };
    client.send(std::move(spec), std::move(callbacks));
  }

  /// Waits until the instance says that it is ready.
  bool wait_ready(const server_process& it, duration limit = seconds(15)) {
    const time_point end = loop->now() + limit;
    while (loop->now() < end) {
      if (call(it.ready, {"GET", "/ready", {{"Host", "ready"}}, {}}, seconds(1)).response.status ==
          200) {
        note("instance {} is ready", it.name);
        return true;
      }
      pass(milliseconds(100));
    }
    note("instance {} did not become ready", it.name);
    return false;
  }

  static http1::request request(std::string method, std::string target, std::string id,
                                const std::string& key, std::string body = {},
                                int deadline_ms = 4000) {
    return {std::move(method),
            std::move(target),
            {{"Host", "a.example"},
             {"Attempt-Id", std::move(id)},
             {"Deadline-Ms", std::to_string(deadline_ms)},
             {"Authorization", "Bearer " + key}},
            std::move(body)};
  }

  /// Ends the case: writes the verdict and returns the exit status.
  int finish(int status, const std::string& why) {
    note("{}: {}", status == held ? "held" : status == broken ? "BROKEN" : "could not run", why);
    std::cout << (status == held ? "held" : status == broken ? "broken" : "could not run") << ": "
              << why << std::endl;
    return status;
  }

  std::unique_ptr<net::event_loop> loop;
  platform::store_stand_in store;
  /// Another stand-in of the store that instances use instead.
  std::optional<net::address> store_address;
  http1::client client;
  bool trouble = true;
  std::vector<server_process> instances;

private:
  [[nodiscard]] std::string settings_path(const std::string& name) const {
    return fmt::format("{}/{}.json", folder_, name);
  }

  std::string program_;
  std::string folder_;
  std::ofstream record_;
  std::mutex record_mutex_;
  std::unique_ptr<http1::server> cloud_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/// The first configuration: a plain route, a route of requests that run once, and one of batch jobs.
inline json configuration(int version = 3) {
  return {{"version", version},
          {"routes",
           {{{"name", "plans"},
             {"host", "a.example"},
             {"prefix", "/plans/"},
             {"kind", "safe"},
             {"timeout_ms", 3000},
             {"target_latency_ms", 500},
             {"priority", 2},
             {"max_attempts", 2},
             {"public", false},
             {"service", "plain"}},
            {{"name", "score"},
             {"host", "a.example"},
             {"prefix", "/score/"},
             {"kind", "safe"},
             {"timeout_ms", 3000},
             {"target_latency_ms", 500},
             {"priority", 2},
             {"max_attempts", 3},
             {"public", true},
             {"service", "plain"}},
            {{"name", "jobs"},
             {"host", "a.example"},
             {"prefix", "/jobs/"},
             {"kind", "rollout"},
             {"timeout_ms", 10000},
             {"target_latency_ms", 500},
             {"due_ms", 7500},
             {"max_queue_s", 40},
             {"priority", 0},
             {"max_attempts", 3},
             {"public", false},
             {"service", "models"}}}},
          {"services",
           {{{"name", "plain"}, {"health_path", "/healthz"}, {"max_conns", 110}},
            {{"name", "models"},
             {"health_path", "/healthz"},
             {"max_conns", 140},
             {"engine", {{"slots", 8}, {"models", {{{"name", "m"}}}}}}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 33554432},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "north"}, {"api_keys", {"key-n"}}, {"priority", 1}},
            {{"name", "south"}, {"api_keys", {"key-s"}}, {"priority", 1}}}}};
}

} // namespace review
