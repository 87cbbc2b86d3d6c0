// A replica streams an item's text without a length, as it may, and is killed between two events.
#include "world.h"

using namespace world;

namespace {

constexpr int events = 12;
constexpr int cut_after = 6;

/// A model replica: a process of its own. Its answers have no length and end with their connection.
int replica(int port) {
  const int listener = listen_on("127.0.0.1", port);
  if (listener < 0) {
    return 2;
  }
  serve(listener, [](int fd, message& request, reader&) {
    const std::string id = request.field("attempt-id");
    if (request.path() == "/report") {
      return write_all(fd, response(200, json{{"stage", "both"},
                                              {"models", {{{"name", "m"},
                                                           {"version", 1},
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
    write_all(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id +
                      "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                      "Connection: close\r\n\r\n");
    for (int n = 1 + std::atoi(request.field("last-event-id").c_str()); n <= events; ++n) {
      write_all(fd, "id: " + std::to_string(n) + "\ndata: " + id + " piece " + std::to_string(n) +
                        "\n\n");
      // Long enough to be killed in, short enough not to count as stalled.
      sleep_ms(100);
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
         small_configuration(3, {{{"name", "north"}, {"api_keys", {"key-n"}}}}));
  auto first = instance::create("front-z1-1", "z1", folder, kv.port(), other.port());
  auto second = instance::create("front-z2-1", "z2", folder, kv.port(), other.port());
  first.run();
  second.run();
  const json models = {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}};
  const int port_1 = free_port();
  const int port_2 = free_port();
  pid_t engine_1 = start({"/proc/self/exe", "replica", std::to_string(port_1)}, "");
  pid_t engine_2 = start({"/proc/self/exe", "replica", std::to_string(port_2)}, "");
  register_replica(kv, "e-1", "models", port_1, "ready", models);
  register_replica(kv, "e-2", "models", port_2, "ready", models);
  register_replica(kv, "p-1", "plain", start_plain(log));
  const auto finish = [&](int code) -> int {
    stop(engine_1);
    stop(engine_2);
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
  sleep_ms(1000);
  const std::string host = "Host: a.example\r\nAuthorization: Bearer key-n\r\n";
  const message taken = ask(first.front, "POST /jobs/j HTTP/1.1\r\n" + host +
                                             "Attempt-Id: 7c41e09b52d6a3f8\r\n",
                            small_job("i", 3).dump());
  log.line("batch job of 6 items submitted: " + std::to_string(taken.status));
  if (taken.status != 202) {
    return finish(2);
  }
  if (trouble) {
    sleep_ms(cut_after * 100 - 40);
    stop(engine_1);
    engine_1 = -1;
    log.line("SIGKILL to replica e-1; e-2 goes on");
    sleep_ms(300);
    kv.erase("servers/e-1");
  }
  json results = json::array();
  for (int n = 0; n < 40 && results.size() < 6; ++n) {
    const message it = ask(second.front, "GET /lots/7c41e09b52d6a3f8?after=0 HTTP/1.1\r\n" + host +
                                             "Wait-Ms: 500\r\n");
    if (it.status == 200) {
      results = json::parse(it.body)["results"];
    }
    sleep_ms(200);
  }
  int broken = 0;
  for (const json& it : results) {
    std::string whole;
    for (int n = 1; n <= events; ++n) {
      whole += (n > 1 ? "\n" : "") + it["id"].get<std::string>() + " piece " + std::to_string(n);
    }
    const std::string text = it.value("output", "");
    const bool is_whole = text == whole;
    broken += it["state"] == "done" && !is_whole ? 1 : 0;
    log.line("result " + it["id"].get<std::string>() + ": " + it["state"].get<std::string>() +
             (is_whole ? ", whole" : ", ends with \"" + text.substr(text.rfind('\n') + 1) + "\" of " +
                                         std::to_string(events) + " events"));
  }
  log.line(std::to_string(results.size()) + " of 6 results read, " + std::to_string(broken) +
           " of them done with a text that is not whole");
  if (broken == 0 && results.size() < 6) {
    return finish(2);
  }
  return finish(broken > 0 ? 1 : 0);
}
