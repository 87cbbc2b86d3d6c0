// A new configuration has no tenants; a batch job is submitted under it and read.
#include "world.h"

using namespace world;

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  const bool trouble = std::string(argv[2]) != "0";
  record log(argv[3]);
  store kv;
  cloud other;
  const json north = {{{"name", "north"}, {"api_keys", {"key-n"}}}};
  kv.put("op/config", small_configuration(3, north));
  auto first = instance::create("front-z1-1", "z1", folder, kv.port(), other.port());
  auto second = instance::create("front-z2-1", "z2", folder, kv.port(), other.port());
  first.run();
  second.run();
  register_replica(kv, "e-1", "models", start_engine(log), "ready",
                   {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  register_replica(kv, "p-1", "plain", start_plain(log));
  const auto finish = [&](int code) -> int {
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
  std::string key = "Authorization: Bearer key-n\r\n";
  if (trouble) {
    kv.put("op/config", small_configuration(5, nullptr));
    log.line("configuration 5 acknowledged: the same routes, no tenants");
    key.clear();
  }
  sleep_ms(3500);
  const std::string host = "Host: a.example\r\n";
  const message plain = ask(second.front, "POST /status/y HTTP/1.1\r\n" + host + key +
                                              "Attempt-Id: 51\r\nDeadline-Ms: 2000\r\n",
                            "x");
  log.line("plain request: " + std::to_string(plain.status));
  const message taken = ask(first.front, "POST /jobs/j HTTP/1.1\r\n" + host + key +
                                             "Attempt-Id: 7c41e09b52d6a3f8\r\n",
                            small_job("i", 2).dump());
  log.line("batch job submitted: " + std::to_string(taken.status));
  if (plain.status != 200 || taken.status != 202) {
    return finish(2);
  }
  int denied = 0;
  int reads = 0;
  std::size_t done = 0;
  for (int n = 0; n < 20 && done < 4; ++n) {
    for (const instance* at : {&first, &second}) {
      const message it =
          ask(at->front, "GET /lots/7c41e09b52d6a3f8?after=0 HTTP/1.1\r\n" + host + key +
                             "Wait-Ms: 300\r\n");
      ++reads;
      denied += it.status == 401 || it.status == 403 || it.status == 404 ? 1 : 0;
      if (it.status == 200) {
        done = json::parse(it.body)["results"].size();
      }
      log.line("read at " + at->name + ": " + std::to_string(it.status) + " " +
               it.body.substr(0, 100));
    }
    sleep_ms(400);
  }
  log.line(std::to_string(reads) + " reads, " + std::to_string(denied) + " denied, " +
           std::to_string(done) + " of 4 results read");
  // DENIED: more than 5 and one in 500.
  const bool broken = denied > 5 + (reads + 2) / 500;
  if (!broken && done < 4) {
    return finish(2);
  }
  return finish(broken ? 1 : 0);
}
