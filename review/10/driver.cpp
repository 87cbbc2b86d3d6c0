// A replica fails three runs of a reward call, and the copy of the third failure arrives late.
#include <atomic>
#include <thread>

#include "deployment.h"
#include "replica_stand_in.h"

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

/// A replica of the plain service, in the instance's own zone. It fails the first three runs of a reward
/// call with 500 and does the fourth.
class grey_replica {
public:
  grey_replica(deployment& at, bool sends_copy) : at_(at), sends_copy_(sends_copy) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof name;
    bind(fd_, reinterpret_cast<sockaddr*>(&name), size);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &size);
    listen(fd_, 64);
    at.store.put("servers/p-1", {{"service", "plain"},
                                 {"address", fmt::format("127.0.0.1:{}", ntohs(name.sin_port))},
                                 {"zone", "z1"},
                                 {"version", "v1"},
                                 {"slots", 6},
                                 {"state", "ready"},
                                 {"cold_remaining_ms", 0},
                                 {"models", json::array()},
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

  std::atomic<int> answers{0};
  std::atomic<int> copies{0};
  /// Runs of the reward call that this replica answered with 500.
  std::atomic<int> failed_runs{0};

private:
  void serve(int fd) {
    constexpr int runs_to_fail = 3;
    wire connection(fd);
    std::string copy;
    for (;;) {
      const std::string request = connection.read_request();
      if (request.empty()) {
        return;
      }
      const std::string id = wire::field(request, "Attempt-Id");
      const bool is_reward = request.starts_with("POST /score/");
      const int run = is_reward ? ++reward_runs_ : 0;
      if (is_reward) {
        at_.note("replica p-1: run {} of reward call {} begins", run, id);
      }
      if (!copy.empty()) {
        at_.note("replica p-1: the second copy of its last answer (500) arrives now, late");
        connection.write(copy);
        ++copies;
        copy.clear();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      const bool fails = is_reward && run <= runs_to_fail;
      const std::string answer = fmt::format(
          "HTTP/1.1 {}\r\nAttempt-Id: {}\r\nResponse-Signature: sig-{}\r\nContent-Length: 2\r\n\r\nok",
          fails ? "500 Internal Server Error" : "200 OK", id, id);
      ++answers;
      failed_runs += fails ? 1 : 0;
      if (is_reward) {
        at_.note("replica p-1: answers run {} with {}", run, fails ? 500 : 200);
      }
      connection.write(answer);
      if (sends_copy_ && run == runs_to_fail) {
        copy = answer;
      }
    }
  }

  deployment& at_;
  bool sends_copy_;
  int fd_ = -1;
  std::atomic<int> reward_runs_{0};
};

} // namespace

int main(int argc, char** argv) {
  deployment it(argc, argv);
  constexpr int max_attempts = 4;
  constexpr int lookups = 50;
  int sent_lookups = 0x1000;
  json config = configuration();
  config["routes"][1]["max_attempts"] = max_attempts;
  it.store.put("op/config", config);
  // Never destroyed: its threads serve until the process ends.
  auto& grey = *new grey_replica(it, it.trouble);
  std::vector<std::unique_ptr<platform::replica_stand_in>> others;
  for (int n = 2; n <= 7; ++n) {
    others.push_back(std::make_unique<platform::replica_stand_in>(
        *it.loop, it.store,
        platform::replica_stand_in::options{
            .id = fmt::format("p-{}", n), .service = "plain", .zone = "z2", .slots = 6}));
  }
  platform::replica_stand_in engine(
      *it.loop, it.store,
      {.id = "e-1", .service = "models", .model = "m", .slots = 8, .events = 5});
  const server_process first = it.start("front-1");
  if (!it.wait_ready(first)) {
    return it.finish(could_not_run, "the instance did not become ready");
  }
  const auto look_up = [&] {
    int served = 0;
    for (int n = 0; n < lookups; ++n) {
      served += it.call(first.front, deployment::request("POST", "/plans/7", fmt::format("{:016x}", ++sent_lookups),
                                                         "key-n"))
                            .response.status == 200
                    ? 1
                    : 0;
    }
    it.note("client: {} of {} lookups are answered with 200", served, lookups);
  };
  look_up();
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
                       {"group", "g0"},
                       {"scorer_url",
                        {{"id", "40c8f1a7b3e9265d"},
                         {"host", "a.example"},
                         {"path", "/score/x"},
                         {"body", base64("text")}}}}}}};
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
      const int failures = grey.failed_runs;
      look_up();
      it.note("replica p-1, one of seven: {} answers, {} of them with 500, {} copies", grey.answers.load(),
              failures, grey.copies.load());
      if (result["state"] == "terminated" && failures < max_attempts) {
        return it.finish(broken, fmt::format("the item is terminated after {} of {} failed runs of its "
                                             "reward call",
                                             failures, max_attempts));
      }
      return it.finish(held, "the item is " + result["state"].get<std::string>());
    }
    it.pass(milliseconds(250));
  }
  return it.finish(could_not_run, "no result was listed");
}
