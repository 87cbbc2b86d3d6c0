// A replica streams without a length, as it may, and is killed in the middle of an event.
#include "world.h"

using namespace world;

namespace {

constexpr int events = 12;
constexpr int cut_event = 6;

std::string event(int n) {
  return "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + " of the text\n\n";
}

/// The replica: a process of its own. Its answers have no length and end with their connection.
int replica(int port) {
  const int listener = listen_on("127.0.0.1", port);
  if (listener < 0) {
    return 2;
  }
  serve(listener, [](int fd, message& request, reader&) {
    if (request.method == "GET") {
      return write_all(fd, response(200, "{}", "Replica-Id: e-1\r\n"));
    }
    write_all(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("attempt-id") +
                      "\r\nResponse-Signature: s.e-1." + request.field("attempt-id") +
                      "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    for (int n = 1; n <= events; ++n) {
      const std::string text = event(n);
      if (n == cut_event) {
        write_all(fd, text.substr(0, text.size() / 2));
        sleep_ms(1000);
        write_all(fd, text.substr(text.size() / 2));
      } else {
        write_all(fd, text);
      }
      sleep_ms(20);
    }
    return false;
  });
  for (;;) {
    ::pause();
  }
}

} // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc == 3 && std::string(argv[1]) == "replica") {
    return replica(std::atoi(argv[2]));
  }
  const std::string folder = argv[1];
  const bool trouble = std::string(argv[2]) != "0";
  record log(argv[3]);
  store kv;
  cloud other;
  kv.put("op/config",
         {{"version", 3},
          {"routes",
           {{{"name", "chat"},
             {"host", "a.example"},
             {"prefix", "/chat/"},
             {"kind", "stream"},
             {"timeout_ms", 10000},
             {"target_latency_ms", 500},
             {"max_attempts", 1},
             {"service", "models"}}}},
          {"services", {{{"name", "models"}}}},
          {"limits", limits()},
          {"tenants", {{{"name", "north"}, {"api_keys", {"key-n"}}}}}});
  auto first = instance::create("front-z1-1", "z1", folder, kv.port(), other.port());
  auto second = instance::create("front-z2-1", "z2", folder, kv.port(), other.port());
  first.run();
  second.run();
  const int port = free_port();
  pid_t engine = start({"/proc/self/exe", "replica", std::to_string(port)}, "");
  register_replica(kv, "e-1", "models", port);
  const auto finish = [&](int code) -> int {
    stop(engine);
    stop(first.pid);
    stop(second.pid);
    log.line("exit " + std::to_string(code));
    // Threads of the stand-ins still run.
    std::_Exit(code);
  };
  if (!wait_ready(first) || !wait_ready(second)) {
    log.line("an instance did not become ready");
    return finish(2);
  }
  sleep_ms(500);
  const std::string head = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 9c41d07be2a35f68"
                           "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-n\r\n";
  const int fd = connect_to(first.front);
  write_all(fd, head + "Content-Length: 2\r\n\r\nhi");
  log.line("sent POST /chat/x, attempt 9c41d07be2a35f68");
  message answer;
  reader from(fd);
  if (!from.read_head(answer, 8000)) {
    log.line("no answer");
    return finish(2);
  }
  log.line("answer: " + answer.start + ", framing " +
           (answer.field("transfer-encoding").empty() ? "none" : answer.field("transfer-encoding")));
  const std::string half = event(cut_event).substr(0, event(cut_event).size() / 2);
  while (from.data.find(half.substr(0, half.size() - 1)) == std::string::npos && from.more(8000)) {
  }
  if (trouble) {
    log.line("SIGKILL to the replica, which has sent half of event " + std::to_string(cut_event));
    stop(engine);
    engine = -1;
  }
  from.read_body(answer, true, 9000);
  int complete = 0;
  while (answer.body.find(event(complete + 1)) != std::string::npos) {
    ++complete;
  }
  log.line("the answer has " + std::to_string(complete) + " of " + std::to_string(events) +
           " events; its end: " + (answer.whole ? "complete" : "broken off"));
  log.line("last bytes: " + json(answer.body.substr(answer.body.size() -
                                                    std::min<std::size_t>(40, answer.body.size())))
                                .dump());
  ::close(fd);
  if (!trouble && (complete != events || !answer.whole)) {
    return finish(2);
  }
  return finish(answer.whole && complete < events ? 1 : 0);
}
