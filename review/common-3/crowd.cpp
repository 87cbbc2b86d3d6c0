// Many callers send request behind request and read no answer. The script plays the platform: a
// process that uses more than its memory is killed and started again.
#include "world.h"

#include <fcntl.h>

using namespace world;

namespace {

constexpr std::size_t memory_bytes = 260UL * 1024 * 1024;
constexpr int kills_that_break = 3;

/// Bytes that have arrived at the ports of an instance and are not read yet.
std::size_t unread(const std::set<int>& ports) {
  std::ifstream from("/proc/net/tcp");
  std::string line;
  std::size_t sum = 0;
  std::getline(from, line);
  while (std::getline(from, line)) {
    unsigned local = 0, state = 0, rx = 0;
    if (std::sscanf(line.c_str(), " %*d: %*8x:%x %*8x:%*x %x %*x:%x", &local, &state, &rx) == 3 &&
        state == 1 && ports.count(static_cast<int>(local)) > 0) {
      sum += rx;
    }
  }
  return sum;
}

std::size_t resident(pid_t pid) {
  std::ifstream from("/proc/" + std::to_string(pid) + "/statm");
  std::size_t all = 0, pages = 0;
  from >> all >> pages;
  return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// A caller that goes on sending the same request and does not read.
struct caller {
  int port = 0;
  const std::string* text = nullptr;
  int fd = -1;
  std::size_t sent = 0;

  void act() {
    if (fd < 0) {
      fd = connect_to(port);
      if (fd < 0) {
        return;
      }
      ::fcntl(fd, F_SETFL, O_NONBLOCK);
      const int small = 4096;
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
      sent = 0;
    }
    for (int n = 0; n < 8; ++n) {
      const ssize_t done =
          ::send(fd, text->data() + sent % text->size(), text->size() - sent % text->size(),
                 MSG_NOSIGNAL);
      if (done > 0) {
        sent += static_cast<std::size_t>(done);
        continue;
      }
      if (errno != EAGAIN) {
        ::close(fd);
        fd = -1;
      }
      return;
    }
  }
};

} // namespace

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  const bool trouble = std::string(argv[2]) != "0";
  record log(argv[3]);
  store kv;
  cloud other;
  kv.put("op/config",
         small_configuration(3, {{{"name", "north"}, {"api_keys", {"key-n"}}}}));
  std::vector<instance> all = {
      instance::create("front-z1-1", "z1", folder, kv.port(), other.port()),
      instance::create("front-z2-1", "z2", folder, kv.port(), other.port())};
  const auto finish = [&](int code) -> int {
    for (const auto& it : all) {
      stop(it.pid);
    }
    log.line("exit " + std::to_string(code));
    // Threads of the stand-ins still run.
    std::_Exit(code);
  };
  std::ofstream quiet("/dev/null");
  static record no_log("/dev/null");
  register_replica(kv, "p-1", "plain", start_plain(no_log, 10));
  register_replica(kv, "e-1", "models", start_engine(no_log), "ready",
                   {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  for (auto& it : all) {
    it.run();
  }
  for (const auto& it : all) {
    if (!wait_ready(it)) {
      log.line("an instance did not become ready");
      return finish(2);
    }
  }
  // Limits: max_header_bytes 16,384, max_fds 4,100. Each request has a head of 15 KB.
  const std::string filler(15 * 1024, 'x');
  const std::string plain = "GET /status/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: c1\r\n"
                            "Deadline-Ms: 2000\r\nX-Note: " +
                            filler + "\r\n\r\n";
  const std::string lookup = "GET /resolve?name=a.example&region=r&zone=z1 HTTP/1.1\r\nHost: d\r\n"
                             "X-Note: " +
                             filler + "\r\n\r\n";
  constexpr int on_front = 2437;
  constexpr int on_lookup = 487;
  std::vector<caller> crowd;
  if (trouble) {
    for (const auto& it : all) {
      for (int n = 0; n < on_front; ++n) {
        crowd.push_back({it.front, &plain});
      }
      for (int n = 0; n < on_lookup; ++n) {
        crowd.push_back({it.lookup, &lookup});
      }
    }
    log.line("a crowd of " + std::to_string(on_front) + " callers and " +
             std::to_string(on_lookup) + " look-ups at each instance begins");
  }
  std::vector<int> kills(all.size(), 0);
  std::vector<std::size_t> peak(all.size(), 0);
  const double end = since_start() + 60;
  int served = 0;
  int asked = 0;
  double next_ask = 0;
  while (since_start() < end &&
         std::any_of(kills.begin(), kills.end(), [](int n) { return n < kills_that_break; })) {
    std::size_t done = 0;
    for (auto& it : crowd) {
      it.act();
      // The memory is watched often, as the platform does.
      if (++done % 500 != 0) {
        continue;
      }
      for (std::size_t n = 0; n < all.size(); ++n) {
        const std::size_t used = resident(all[n].pid);
        peak[n] = std::max(peak[n], used);
      }
    }
    for (std::size_t n = 0; n < all.size(); ++n) {
      const std::size_t own = resident(all[n].pid);
      const std::size_t waiting =
          unread({all[n].front, all[n].lookup, all[n].ready, all[n].internal});
      peak[n] = std::max(peak[n], own + waiting);
      if (own + waiting > memory_bytes) {
        ++kills[n];
        log.line(all[n].name + " uses " + std::to_string(own >> 20) + " MiB and has " +
                 std::to_string(waiting >> 20) + " MiB unread: killed and started again");
        stop(all[n].pid);
        sleep_ms(300);
        all[n].run();
        wait_ready(all[n], 5000);
      }
    }
    if (!trouble && since_start() > next_ask) {
      next_ask = since_start() + 0.02;
      ++asked;
      served += ask(all[asked % 2].front, plain.substr(0, plain.size() - 2)).status == 200 ? 1 : 0;
    }
    sleep_ms(trouble ? 20 : 5);
  }
  for (std::size_t n = 0; n < all.size(); ++n) {
    log.line(all[n].name + ": ended " + std::to_string(kills[n]) + " times, peak " +
             std::to_string(peak[n] >> 20) + " MiB of 260");
  }
  if (!trouble) {
    log.line(std::to_string(served) + " of " + std::to_string(asked) + " requests served");
    if (served < asked * 9 / 10) {
      return finish(2);
    }
  }
  const bool broken =
      std::all_of(kills.begin(), kills.end(), [](int n) { return n >= kills_that_break; });
  return finish(broken ? 1 : 0);
}
