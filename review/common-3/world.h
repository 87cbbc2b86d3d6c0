// Stand-ins for the scripts of this review: the platform's store and its other interface, replicas
// and clients, after the pages. Loopback only; a thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace world {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline double since_start() {
  static const auto start = steady::now();
  return std::chrono::duration<double>(steady::now() - start).count();
}

inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// Lines of record.txt, with the time since the start of the script.
class record {
public:
  explicit record(const std::string& path) : out_(path) { since_start(); }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", since_start());
    out_ << at << text << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream out_;
};

// ---- sockets ----

inline int listen_on(const std::string& host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &at.sin_addr);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

/// A port that was free a moment ago, below those that the system gives to outgoing connections.
inline int free_port() {
  static unsigned next = static_cast<unsigned>(::getpid()) * 37U;
  for (;;) {
    const int port = 20000 + static_cast<int>(next++ % 12000U);
    const int fd = listen_on("127.0.0.1", port);
    if (fd >= 0) {
      ::close(fd);
      return port;
    }
  }
}

/// The first of two free ports in a row, as the program takes them for `internal_ports`.
inline int free_pair() {
  int port = free_port();
  for (int next = free_port(); next != port + 1; next = free_port()) {
    port = next;
  }
  return port;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool write_all(int fd, const std::string& data) {
  std::size_t done = 0;
  while (done < data.size()) {
    const ssize_t n = ::send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// ---- HTTP ----

struct message {
  std::string start;
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  /// Whether the message ended as its framing says, not by an early end of the connection.
  bool whole = false;

  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
  }
  std::string path() const { return target.substr(0, target.find('?')); }
  std::string query(const std::string& name) const {
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
      const auto end = std::min(rest.find('&'), rest.size());
      const std::string pair = rest.substr(0, end);
      rest.erase(0, std::min(end + 1, rest.size()));
      const auto equals = pair.find('=');
      if (equals != std::string::npos && pair.substr(0, equals) == name) {
        std::string out;
        const std::string raw = pair.substr(equals + 1);
        for (std::size_t n = 0; n < raw.size(); ++n) {
          if (raw[n] == '%' && n + 2 < raw.size()) {
            out += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
            n += 2;
          } else {
            out += raw[n];
          }
        }
        return out;
      }
    }
    return {};
  }
};

/// Reads messages from a connection.
class reader {
public:
  explicit reader(int fd) : fd_(fd) {}
  /// Waits at most `limit_ms` for more bytes. False at the end, an error or the limit.
  bool more(int limit_ms = 120000) {
    pollfd it{fd_, POLLIN, 0};
    if (::poll(&it, 1, limit_ms) <= 0) {
      return false;
    }
    char buf[65536];
    const ssize_t n = ::recv(fd_, buf, sizeof buf, 0);
    if (n <= 0) {
      ended_in_order = n == 0;
      return false;
    }
    data.append(buf, static_cast<std::size_t>(n));
    return true;
  }
  bool read_head(message& to, int limit_ms = 120000) {
    std::size_t end;
    while ((end = data.find("\r\n\r\n")) == std::string::npos) {
      if (!more(limit_ms)) {
        return false;
      }
    }
    std::string head = data.substr(0, end + 2);
    data.erase(0, end + 4);
    std::size_t from = 0;
    bool first = true;
    while (from < head.size()) {
      const auto stop = head.find("\r\n", from);
      const std::string line = head.substr(from, stop - from);
      from = stop + 2;
      if (first) {
        first = false;
        to.start = line;
        const auto a = line.find(' ');
        const auto b = line.find(' ', a + 1);
        to.method = line.substr(0, a);
        to.target = line.substr(a + 1, b - a - 1);
        to.status = std::atoi(to.target.c_str());
        continue;
      }
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char& it : name) {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
      }
      std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') {
        value.erase(0, 1);
      }
      to.fields[name] = value;
    }
    return true;
  }
  bool read_body(message& to, bool is_response, int limit_ms = 120000) {
    if (to.field("transfer-encoding") == "chunked") {
      for (;;) {
        std::size_t end;
        while ((end = data.find("\r\n")) == std::string::npos) {
          if (!more(limit_ms)) {
            return false;
          }
        }
        const std::size_t size = std::stoul(data.substr(0, end), nullptr, 16);
        while (data.size() < end + 2 + size + 2) {
          if (!more(limit_ms)) {
            to.body += data.substr(std::min(end + 2, data.size()));
            return false;
          }
        }
        to.body += data.substr(end + 2, size);
        data.erase(0, end + 2 + size + 2);
        if (size == 0) {
          to.whole = true;
          return true;
        }
      }
    }
    if (!to.field("content-length").empty()) {
      const std::size_t size = std::stoul(to.field("content-length"));
      while (data.size() < size) {
        if (!more(limit_ms)) {
          return false;
        }
      }
      to.body = data.substr(0, size);
      data.erase(0, size);
    } else if (is_response) {
      while (more(limit_ms)) {
      }
      to.body = std::exchange(data, {});
      to.whole = ended_in_order;
      return to.whole;
    }
    to.whole = true;
    return true;
  }

  std::string data;
  bool ended_in_order = false;

private:
  int fd_;
};

inline std::string response(int status, const std::string& body,
                            const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves connections until the process ends. The handler answers on the connection itself and
/// returns false to close it.
using handler = std::function<bool(int fd, message& request, reader& from)>;
inline void serve(int listener, handler on_request) {
  std::thread([listener, on_request] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      std::thread([fd, on_request] {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        reader from(fd);
        for (;;) {
          message request;
          if (!from.read_head(request) || !from.read_body(request, false) ||
              !on_request(fd, request, from)) {
            break;
          }
        }
        ::close(fd);
      }).detach();
    }
  }).detach();
}

inline std::string encode64(const std::string& data) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < data.size(); n += 3) {
    unsigned v = static_cast<unsigned char>(data[n]) << 16;
    v |= n + 1 < data.size() ? static_cast<unsigned char>(data[n + 1]) << 8 : 0;
    v |= n + 2 < data.size() ? static_cast<unsigned char>(data[n + 2]) : 0;
    out += digits[v >> 18];
    out += digits[(v >> 12) & 63];
    out += n + 1 < data.size() ? digits[(v >> 6) & 63] : '=';
    out += n + 2 < data.size() ? digits[v & 63] : '=';
  }
  return out;
}

inline std::string decode64(const std::string& text) {
  std::string out;
  unsigned v = 0;
  int bits = 0;
  for (const char it : text) {
    int d;
    if (it >= 'A' && it <= 'Z') {
      d = it - 'A';
    } else if (it >= 'a' && it <= 'z') {
      d = it - 'a' + 26;
    } else if (it >= '0' && it <= '9') {
      d = it - '0' + 52;
    } else if (it == '+') {
      d = 62;
    } else if (it == '/') {
      d = 63;
    } else {
      break;
    }
    v = (v << 6) | static_cast<unsigned>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>((v >> bits) & 255);
    }
  }
  return out;
}

// ---- the platform's store ----

class store {
public:
  store() : listener_(listen_on("127.0.0.1", 0)) {
    serve(listener_, [this](int fd, message& it, reader&) { return answer(fd, it); });
    std::thread([this] {
      for (;;) {
        sleep_ms(20);
        const std::lock_guard lock(mutex_);
        expire();
      }
    }).detach();
  }
  int port() const { return port_of(listener_); }
  /// Writes as an operator or a replica does. Returns the revision.
  std::uint64_t put(const std::string& key, const json& value) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, value.dump(), 0);
    changed_.notify_all();
    return revision_;
  }
  /// Writes bytes as they are.
  void put_bytes(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, value, 0);
    changed_.notify_all();
  }
  void erase(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    remove(key);
    changed_.notify_all();
  }
  std::vector<std::string> keys(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> list;
    for (const auto& [key, it] : items_) {
      if (key.rfind(prefix, 0) == 0) {
        list.push_back(key);
      }
    }
    return list;
  }

private:
  struct item {
    std::string value;
    std::uint64_t revision = 0, created = 0, lease = 0;
  };
  struct event {
    std::string key;
    bool removed;
    item it;
  };
  struct lease {
    std::uint64_t ttl;
    steady::time_point until;
  };

  static json to_json(const std::string& key, const item& it) {
    return {{"key", key},
            {"value", encode64(it.value)},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
  }
  void write(const std::string& key, const std::string& value, std::uint64_t of) {
    item& it = items_[key];
    it.value = value;
    it.revision = revision_;
    it.created = it.created == 0 ? revision_ : it.created;
    it.lease = of;
    history_.push_back({key, false, it});
  }
  void remove(const std::string& key) {
    if (items_.erase(key) > 0) {
      item gone;
      gone.revision = revision_;
      history_.push_back({key, true, gone});
    }
  }
  void end(std::uint64_t id) {
    std::vector<std::string> gone;
    for (const auto& [key, it] : items_) {
      if (it.lease == id) {
        gone.push_back(key);
      }
    }
    if (!gone.empty()) {
      ++revision_;
    }
    for (const auto& key : gone) {
      remove(key);
    }
    leases_.erase(id);
    changed_.notify_all();
  }
  void expire() {
    std::vector<std::uint64_t> over;
    for (const auto& [id, it] : leases_) {
      if (it.until <= steady::now()) {
        over.push_back(id);
      }
    }
    for (const auto id : over) {
      end(id);
    }
  }
  json events_since(const std::string& prefix, std::uint64_t after) {
    json list = json::array();
    for (const event& it : history_) {
      if (it.it.revision > after && it.key.rfind(prefix, 0) == 0) {
        if (it.removed) {
          list.push_back({{"key", it.key}, {"revision", it.it.revision}, {"tombstone", true}});
        } else {
          list.push_back(to_json(it.key, it.it));
        }
      }
    }
    return list;
  }

  bool answer(int fd, message& request) {
    const std::string json_type = "Content-Type: application/json\r\n";
    const auto send = [&](int status, const json& body) {
      return write_all(fd, response(status, body.dump(), json_type));
    };
    std::unique_lock lock(mutex_);
    const std::string path = request.path();
    if (path == "/kv-key") {
      const auto it = items_.find(request.query("key"));
      if (it == items_.end()) {
        return send(404, {{"as_of", revision_}});
      }
      json out = to_json(it->first, it->second);
      out["as_of"] = revision_;
      return send(200, out);
    }
    if (path == "/kv-range") {
      const std::string prefix = request.query("prefix");
      json list = json::array();
      bool more = false;
      for (auto it = items_.upper_bound(request.query("after")); it != items_.end(); ++it) {
        if (it->first.rfind(prefix, 0) != 0) {
          continue;
        }
        if (list.size() == 500) {
          more = true;
          break;
        }
        list.push_back(to_json(it->first, it->second));
      }
      return send(200, {{"items", list}, {"has_more", more}, {"as_of", revision_}});
    }
    if (path == "/kv-watch") {
      const std::string prefix = request.query("prefix");
      const std::uint64_t after = std::stoull("0" + request.query("after"));
      const auto until =
          steady::now() + std::chrono::milliseconds(std::stoull("0" + request.query("wait_ms")));
      json events = events_since(prefix, after);
      while (events.empty() && changed_.wait_until(lock, until) != std::cv_status::timeout) {
        events = events_since(prefix, after);
      }
      return send(200, {{"events", events}, {"as_of", revision_}});
    }
    if (path == "/kv-lease") {
      const json body = json::parse(request.body);
      const std::uint64_t ttl = body["ttl_ms"];
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {ttl, steady::now() + std::chrono::milliseconds(ttl)};
      return send(200, {{"lease", id}, {"ttl_ms", ttl}});
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto it = leases_.find(std::stoull(path.substr(9)));
      if (it == leases_.end()) {
        return send(404, json::object());
      }
      it->second.until = steady::now() + std::chrono::milliseconds(it->second.ttl);
      return send(200, {{"lease", it->first}, {"ttl_ms", it->second.ttl}});
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      end(std::stoull(path.substr(14)));
      return send(200, json::object());
    }
    if (path == "/kv-txn") {
      return commit(request, send);
    }
    return send(400, json::object());
  }

  template <class Send> bool commit(message& request, const Send& send) {
    const json change = json::parse(request.body);
    json found = json::array();
    bool met = true;
    for (const json& row : change["expected"]) {
      const std::string key = row["key"];
      const auto it = items_.find(key);
      met = met && (it == items_.end() ? 0 : it->second.revision) == row["revision"];
      found.push_back(it == items_.end() ? json{{"key", key}, {"revision", 0}}
                                         : to_json(key, it->second));
    }
    if (!met) {
      return send(412, {{"items", found}});
    }
    for (const json& it : change["puts"]) {
      const std::uint64_t of = it.value("lease", std::uint64_t{0});
      if (of != 0 && leases_.count(of) == 0) {
        return send(404, json::object());
      }
    }
    ++revision_;
    for (const json& it : change["puts"]) {
      write(it["key"], decode64(it["value"]), it.value("lease", std::uint64_t{0}));
    }
    for (const json& key : change["remove"]) {
      remove(key);
    }
    changed_.notify_all();
    return send(200, {{"revision", revision_}});
  }

  int listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<event> history_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t revision_ = 10;
  std::uint64_t last_lease_ = 100;
};

/// The platform's other interface, which takes reports of use and orders.
class cloud {
public:
  cloud() : listener_(listen_on("127.0.0.1", 0)) {
    serve(listener_, [](int fd, message&, reader&) { return write_all(fd, response(200, "{}")); });
  }
  int port() const { return port_of(listener_); }

private:
  int listener_;
};

// ---- processes ----

/// Starts a program with its output in a file.
inline pid_t start(const std::vector<std::string>& words, const std::string& output) {
  const pid_t pid = ::fork();
  if (pid == 0) {
    // Ends with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (!output.empty()) {
      [[maybe_unused]] const auto* a = std::freopen(output.c_str(), "a", stdout);
      [[maybe_unused]] const auto* b = std::freopen(output.c_str(), "a", stderr);
    }
    std::vector<char*> argv;
    for (const auto& it : words) {
      argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  return pid;
}

inline void stop(pid_t pid, int with = SIGKILL) {
  if (pid > 0) {
    ::kill(pid, with);
    ::waitpid(pid, nullptr, 0);
  }
}

/// An instance of the system, started with the command of the deploy file.
struct instance {
  std::string name;
  std::string zone;
  int front = 0, ready = 0, lookup = 0, internal = 0;
  std::string folder;
  pid_t pid = -1;

  static instance create(const std::string& name, const std::string& zone,
                         const std::string& folder, int store, int cloud) {
    instance it{name, zone, free_port(), free_port(), free_port(), free_pair(), folder, -1};
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const json settings = {
        {"node_name", name},
        {"role", "instance"},
        {"machine_class", "front"},
        {"serves", {"front", "directory"}},
        {"ip", "127.0.0.1"},
        {"zone", zone},
        {"region", "r"},
        {"zones", {{"z1", "r"}, {"z2", "r"}, {"z3", "r"}}},
        {"listen_addrs",
         {{"front", at(it.front)}, {"ready", at(it.ready)}, {"directory", at(it.lookup)}}},
        {"internal_ports", {it.internal, it.internal + 1}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"fault_counted", false},
        {"limits",
         {{"cpu_share", 0.25},
          {"cpu_cores", 1},
          {"memory_mb", 260},
          {"max_fds", 4100},
          {"link_mbps", 1000.0},
          {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entry", "directory"},
        {"heartbeat_ms", 1200},
        {"bounds",
         {{"drain_ms", 2000},
          {"grace_period_s", 8},
          {"lease_ttl_ms", 3000},
          {"usage_window_s", 5},
          {"ttl_max_s", 5}}},
        {"platform",
         {{"address", at(store)},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"retention_s", 20},
          {"value_bytes", 1048576},
          {"min_ttl_ms", 1000}}},
        {"cloud_api", {{"address", at(cloud)}, {"rate_per_s", 50.0}, {"duty_per_s", 50.0}}}};
    std::ofstream(folder + "/" + name + ".json") << settings.dump(2);
    return it;
  }
  void run() {
    ::setenv("BORAGEDOOR_NODE_FILE", (folder + "/" + name + ".json").c_str(), 1);
    pid = start({"target/bin/boragedoor-platform"}, folder + "/" + name + ".log");
  }
};

inline json limits() {
  return {{"max_header_bytes", 16384},
          {"max_body_bytes", 1048576},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}};
}

/// Registers a replica as one does itself.
inline void register_replica(store& at, const std::string& id, const std::string& service,
                             int port, const std::string& state = "ready",
                             const json& models = nullptr, int slots = 8) {
  static std::atomic<int> sequence{0};
  static const std::int64_t born =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  json it = {{"service", service},
             {"address", "127.0.0.1:" + std::to_string(port)},
             {"zone", "z1"},
             {"version", "v1"},
             {"slots", slots},
             {"state", state},
             {"cold_remaining_ms", 0},
             {"sequence", ++sequence},
             {"born", born}};
  if (!models.is_null()) {
    it["stage"] = "both";
    it["models"] = models;
  }
  at.put("servers/" + id, it);
}

/// Sends one request on a new connection and reads the answer to its end.
inline message ask(int port, const std::string& head, const std::string& body = "",
                   int limit_ms = 15000) {
  message out;
  const int fd = connect_to(port);
  if (fd < 0) {
    return out;
  }
  write_all(fd, head + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) +
                                                "\r\n") +
                    "\r\n" + body);
  reader from(fd);
  if (from.read_head(out, limit_ms)) {
    from.read_body(out, true, limit_ms);
  }
  ::close(fd);
  return out;
}

/// Waits until the instance's ready address answers 200.
inline bool wait_ready(const instance& it, int limit_ms = 20000) {
  for (int n = 0; n < limit_ms / 50; ++n) {
    if (ask(it.ready, "GET /ready HTTP/1.1\r\nHost: r\r\n", "", 500).status == 200) {
      return true;
    }
    sleep_ms(50);
  }
  return false;
}

/// A model replica of this process: streams `events` events in chunks, one each `interval_ms`.
struct engine_options {
  int events = 3;
  int interval_ms = 20;
  int version = 1;
};
inline int start_engine(record& log, engine_options options = {}) {
  const int listener = listen_on("127.0.0.1", 0);
  serve(listener, [&log, options](int fd, message& request, reader&) {
    if (request.path() == "/report") {
      return write_all(fd, response(200, json{{"stage", "both"},
                                              {"models", {{{"name", "m"},
                                                           {"version", options.version},
                                                           {"adapters", json::array()}}}},
                                              {"busy", false},
                                              {"sequence", 1},
                                              {"queued", 0},
                                              {"running", 0},
                                              {"kv_used", 0},
                                              {"kv_total", 1000},
                                              {"handles", 0}}
                                             .dump()));
    }
    const std::string id = request.field("attempt-id");
    const int after = std::atoi(request.field("last-event-id").c_str());
    log.line("replica runs " + id + " after event " + std::to_string(after));
    const auto chunk = [fd](const std::string& text) {
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return write_all(fd, size + text + "\r\n");
    };
    bool open = write_all(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                                  "\r\nResponse-Signature: s." + id + "\r\nWeight-Versions: " +
                                  std::to_string(options.version) +
                                  "\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
    for (int n = after + 1; open && n <= options.events; ++n) {
      open = chunk("id: " + std::to_string(n) + "\ndata: " + id + " piece " + std::to_string(n) +
                   "\n\n");
      sleep_ms(options.interval_ms);
    }
    return open && write_all(fd, "0\r\n\r\n");
  });
  return port_of(listener);
}

/// A replica of a plain service of this process, which answers after `work_ms`.
inline int start_plain(record& log, int work_ms = 10) {
  const int listener = listen_on("127.0.0.1", 0);
  serve(listener, [&log, work_ms](int fd, message& request, reader&) {
    const std::string id = request.field("attempt-id");
    if (!id.empty()) {
      log.line("plain replica runs " + id + " " + request.target);
    }
    sleep_ms(work_ms);
    return write_all(fd, response(200, "answer to " + id,
                                  "Attempt-Id: " + id + "\r\nResponse-Signature: p." + id + "\r\n"));
  });
  return port_of(listener);
}

/// Routes of a small deployment: a plain one, whose calls also score, and one of batch jobs.
inline json small_configuration(int version, const json& tenants) {
  json it = {{"version", version},
             {"routes",
              {{{"name", "status"},
                {"host", "a.example"},
                {"prefix", "/status/"},
                {"kind", "safe"},
                {"timeout_ms", 3000},
                {"target_latency_ms", 500},
                {"max_attempts", 2},
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
                {"max_attempts", 3},
                {"service", "models"}}}},
             {"services", {{{"name", "plain"}}, {{"name", "models"}}}},
             {"limits", limits()}};
  if (!tenants.is_null()) {
    it["tenants"] = tenants;
  }
  return it;
}

/// A batch job of `groups` groups of two items.
inline json small_job(const std::string& prefix, int groups) {
  json items = json::array();
  for (int n = 0; n < 2 * groups; ++n) {
    const std::string id = prefix + std::to_string(n);
    items.push_back({{"id", id},
                     {"path", "/jobs/x"},
                     {"headers", {{"Model", "m"}, {"Token-Usage", "10,100"}}},
                     {"body", encode64("body of " + id)},
                     {"tokens", 110},
                     {"group", prefix + "g" + std::to_string(n / 2)},
                     {"scorer_url",
                      {{"id", prefix + "w" + std::to_string(n)},
                       {"host", "a.example"},
                       {"path", "/status/x"},
                       {"body", encode64("text")}}}});
  }
  return {{"step", 0}, {"model", "m"}, {"min_version", 1}, {"desired", groups}, {"items", items}};
}

} // namespace world
