// A replica fails two runs of an item, and the copy of the second failure arrives late.
#include <atomic>
#include <thread>

#include "deployment.h"

using namespace review;

namespace {

/// One connection to the replica, served by a thread of its own.
class wire {
public:
  explicit wire(int fd) : fd_(fd) {}
  ~wire() { close(fd_); }

  /// Reads a whole request; empty at the end of the connection.
  std::string read_request() {
    for (;;) {
      if (const auto end = buffer_.find("\r\n\r\n"); end != std::string::npos) {
        const std::string text = field(buffer_.substr(0, end + 2), "Content-Length");
        const std::size_t size = end + 4 + (text.empty() ? 0 : std::stoul(text));
        if (buffer_.size() >= size) {
          std::string whole = buffer_.substr(0, size);
          buffer_.erase(0, size);
          return whole;
        }
      }
      char piece[4096];
      const ssize_t n = recv(fd_, piece, sizeof piece, 0);
      if (n <= 0) {
        return {};
      }
      buffer_.append(piece, static_cast<std::size_t>(n));
    }
  }

  bool write(const std::string& text) {
    return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }

  static std::string field(const std::string& head, const std::string& name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }

private:
  int fd_;
  std::string buffer_;
};

/// A model replica of one slot. It fails the first two runs of the item with 500 and does the third.
class failing_replica {
public:
  failing_replica(deployment& at, bool sends_copy) : at_(at), sends_copy_(sends_copy) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof name;
    bind(fd_, reinterpret_cast<sockaddr*>(&name), size);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &size);
    listen(fd_, 64);
    at.store.put("servers/e-1",
                 {{"service", "models"},
                  {"address", fmt::format("127.0.0.1:{}", ntohs(name.sin_port))},
                  {"zone", "z1"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"cold_remaining_ms", 0},
                  {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
                  {"sequence", 1},
                  {"born", 1}});
    std::thread([this] {
      for (;;) {
        const int fd = accept(fd_, nullptr, nullptr);
        if (fd < 0) {
          return;
        }
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }

  std::atomic<int> runs{0};
  /// Runs that the replica answered with 500.
  std::atomic<int> failed_runs{0};

private:
  void say(const std::string& text) { at_.note("{}", text); }

  void serve(int fd) {
    wire connection(fd);
    std::string copy;
    for (;;) {
      const std::string request = connection.read_request();
      if (request.empty()) {
        return;
      }
      if (request.starts_with("GET /report")) {
        const std::string body =
            to_text({{"stage", "both"},
                     {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
                     {"busy", false},
                     {"sequence", 0},
                     {"queued", 0},
                     {"running", 0},
                     {"born", 1}});
        connection.write(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                     "Content-Length: {}\r\n\r\n{}",
                                     body.size(), body));
        continue;
      }
      const std::string id = wire::field(request, "Attempt-Id");
      const int run = ++runs;
      say(fmt::format("replica: run {} of item {} begins", run, id));
      if (!copy.empty()) {
        say("replica: the second copy of its last answer (500) arrives now, late");
        connection.write(copy);
        copy.clear();
      }
      if (run <= 2) {
        ++failed_runs;
        const std::string answer =
            fmt::format("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {}\r\n"
                        "Response-Signature: sig-{}\r\nContent-Length: 6\r\n\r\nfailed",
                        id, id);
        say(fmt::format("replica: answers run {} with 500", run));
        connection.write(answer);
        if (sends_copy_ && run == 2) {
          copy = answer;
        }
        continue;
      }
      connection.write(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "Attempt-Id: {}\r\nResponse-Signature: sig-{}\r\n"
                                   "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   id, id));
      bool open = true;
      for (int n = 1; n <= 5 && open; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        const std::string event = fmt::format("id: {}\ndata: t{}\n\n", n, n);
        open = connection.write(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
      }
      say(fmt::format("replica: run {} {}", run,
                      open && connection.write("0\r\n\r\n") ? "is complete" : "was dropped"));
    }
  }

  deployment& at_;
  bool sends_copy_;
  int fd_ = -1;
};

} // namespace

int main(int argc, char** argv) {
  deployment it(argc, argv);
  constexpr int max_attempts = 3;
  it.store.put("op/config", configuration());
  // Never destroyed: its threads serve until the process ends.
  auto& engine = *new failing_replica(it, it.trouble);
  const server_process first = it.start("front-1");
  if (!it.wait_ready(first)) {
    return it.finish(could_not_run, "the instance did not become ready");
  }
  const std::string id = "7c41e09b52d6a3f8";
  const json job = {{"step", 0},
                    {"model", "m"},
                    {"min_version", 1},
                    {"desired", 1},
                    {"items",
                     {{{"id", "e5b2907c14da6f38"},
                       {"path", "/jobs/x"},
                       {"headers", {{"Model", "m"}, {"Token-Usage", "10,100"}}},
                       {"body", base64("body")},
                       {"tokens", 110},
                       {"group", "g0"}}}}};
  const auto out =
      it.call(first.front, deployment::request("POST", "/jobs/x", id, "key-n", to_text(job)));
  it.note("client: job {} is answered with {}", id, out.response.status);
  if (out.response.status != 202) {
    return it.finish(could_not_run, "the job was not accepted");
  }
  for (int n = 0; n < 60; ++n) {
    const auto page =
        it.call(first.front, deployment::request("GET", "/lots/" + id + "?after=0", "", "key-n"));
    const auto read = parse_json(page.response.body);
    if (page.response.status == 200 && read && !read.value()["results"].empty()) {
      const json& result = read.value()["results"][0];
      it.note("client reads {}", to_text(read.value()));
      const int failures = engine.failed_runs;
      if (result["state"] == "terminated" && failures < max_attempts) {
        return it.finish(broken, fmt::format("the item is terminated after {} of {} failed runs",
                                             failures, max_attempts));
      }
      if (result["state"] == "done" && result["output"] != "t1\nt2\nt3\nt4\nt5") {
        return it.finish(broken, "the text isn't whole");
      }
      return it.finish(held, "the item is " + result["state"].get<std::string>());
    }
    it.pass(milliseconds(250));
  }
  return it.finish(could_not_run, "no result was listed");
}
