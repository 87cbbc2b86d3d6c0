#include <fstream>
#include <set>

#include "base/heap.h"
#include "http1/raw_peer.h"
#include "platform_fixture.h"
#include "raw_replica.h"

namespace boragedoor::platform {

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
/// Memory of a machine on the users' sites, and what a test leaves of it: the stand-ins and the
/// buffers of the connections are in the same process.
constexpr std::size_t machine_memory = 260 * mebibyte;
constexpr std::size_t largest_growth = machine_memory - 40 * mebibyte;
/// Time of the trouble.
constexpr duration trouble_time = seconds(5);

/// Resident memory of this process, in bytes.
std::size_t resident_bytes() {
  std::ifstream status("/proc/self/status");
  constexpr std::string_view field = "VmRSS:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) {
      return std::stoul(line.substr(field.size())) * 1024;
    }
  }
  return 0;
}

/// A replica that answers each request with the beginning of a response and then with bytes without
/// end.
class endless_replica {
public:
  endless_replica(net::event_loop& loop, std::string start, std::string filler)
      : start_(std::move(start)), filler_(std::move(filler)),
        server_(loop, [this](http1::raw_connection& it) { answer(it); }),
        timer_(loop, [this] { fill(); }) {
    timer_.start_periodic(milliseconds(5));
  }

  [[nodiscard]] const net::address& address() const { return server_.address(); }
  [[nodiscard]] std::size_t answers() const { return answered_.size(); }

private:
  void answer(http1::raw_connection& it) {
    if (it.received.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    const std::string request = std::exchange(it.received, {});
    it.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + header_of(request, "Attempt-Id") +
            "\r\nResponse-Signature: sig\r\n" + start_);
    answered_.insert(&it);
  }

  void fill() {
    std::erase_if(answered_, [](const auto* it) { return it->closed_by_peer; });
    std::erase_if(server_.connections, [](const auto& it) { return it->closed_by_peer; });
    for (http1::raw_connection* const it : answered_) {
      if (it->unsent() < filler_.size()) {
        it->send(filler_);
      }
    }
  }

  std::string start_;
  std::string filler_;
  std::set<http1::raw_connection*> answered_;
  http1::raw_server server_;
  net::timer timer_;
};

/// An instance, a sound service and one whose replicas send bytes without end.
struct endless_fixture : platform_fixture {
  endless_fixture() {
    return_large_blocks();
    json configuration = make_configuration(4);
    json faulty = configuration["routes"][0];
    faulty["name"] = "faulty";
    faulty["prefix"] = "/faulty/";
    faulty["service"] = "faulty";
    configuration["routes"].push_back(faulty);
    // Scores of texts come from the faulty service as well.
    configuration["routes"][1]["service"] = "faulty";
    configuration["routes"][2]["service"] = "faulty";
    configuration["services"].push_back({{"name", "faulty"}});
    configuration["limits"]["max_body_bytes"] = 32 * mebibyte;
    store.put("op/config", configuration);
    REQUIRE(loop->run_until([&] { return first->context().routes.version() == 4; }, wait_limit));
  }

  void add_replicas(const std::string& start, const std::string& filler) {
    constexpr int count = 4;
    for (int n = 0; n < count; ++n) {
      replicas.push_back(std::make_unique<endless_replica>(*loop, start, filler));
      announce_raw_replica(store, "f-" + std::to_string(n), "faulty", replicas.back()->address(),
                           8);
    }
    REQUIRE(loop->run_until(
        [&] { return first->context().endpoints.available_count("faulty") == count; }, wait_limit));
  }

  /// Lets the trouble go on, with sound requests beside it, each of which must be answered.
  void check_sound_requests() {
    const std::size_t before = resident_bytes();
    std::size_t largest = before;
    const time_point end = loop->now() + trouble_time;
    for (int n = 0; loop->now() < end; ++n) {
      std::optional<int> status;
      send(
          *first, "POST", "/plans/7", "sound-" + std::to_string(n),
          [&](const http1::response& it) { status = it.status; }, "body");
      REQUIRE(loop->run_until(
          [&] {
            largest = std::max(largest, resident_bytes());
            return status.has_value();
          },
          wait_limit));
      CHECK(status == 200);
      loop->run_until(
          [&] {
            largest = std::max(largest, resident_bytes());
            return false;
          },
          milliseconds(50));
    }
    CHECK(largest - before < largest_growth);
  }

  std::vector<std::unique_ptr<endless_replica>> replicas;
};

} // namespace

// Guards against an instance that runs out of memory because peers send bytes without end, or do
// not read theirs, and ends with the requests of all others.
TEST_CASE("an instance keeps within its memory whatever its peers send") {
  constexpr int requests = 16;
  endless_fixture it;
  const std::string filler(256UL * 1024, 'x');
  std::vector<std::unique_ptr<http1::raw_connection>> callers;
  const auto ask = [&](const std::string& head, const std::string& body = {}) {
    callers.push_back(http1::connect_raw(*it.loop, it.first->callers_address()));
    callers.back()->send(head + "Host: a.example\r\nAuthorization: Bearer key-n\r\nAttempt-Id: r" +
                         std::to_string(callers.size()) + "\r\n\r\n" + body);
  };

  SECTION("in bodies without a length that callers wait for") {
    it.add_replicas("\r\n", filler);
    for (int n = 0; n < requests; ++n) {
      ask("GET /faulty/" + std::to_string(n) + " HTTP/1.1\r\n");
    }
    it.check_sound_requests();
  }

  SECTION("in bodies with a length that callers wait for") {
    it.add_replicas("Content-Length: 60000000\r\n\r\n", filler);
    for (int n = 0; n < requests; ++n) {
      ask("GET /faulty/" + std::to_string(n) + " HTTP/1.1\r\n");
    }
    it.check_sound_requests();
  }

  SECTION("in responses to the reward calls of a job") {
    it.start_engine();
    it.add_replicas("\r\n", filler);
    const std::string job = to_text(make_job());
    for (int n = 0; n < requests / 4; ++n) {
      CHECK(
          it.call(*it.first, "POST", "/jobs/x", job, "key-n", "job-" + std::to_string(n)).status ==
          202);
    }
    it.check_sound_requests();
  }

  SECTION("in streams whose callers do not read") {
    it.add_replicas("Content-Type: text/event-stream\r\n\r\n", "data: " + filler + "\n\n");
    for (int n = 0; n < requests; ++n) {
      ask("POST /chat/" + std::to_string(n) + " HTTP/1.1\r\nContent-Length: 0\r\n");
      callers.back()->set_reading(false);
    }
    it.check_sound_requests();
  }

  SECTION("in the bodies of many callers, each within the limit of one") {
    const std::string large(30 * mebibyte, 'b');
    for (int n = 0; n < requests; ++n) {
      ask("POST /plans/" + std::to_string(n) +
              " HTTP/1.1\r\nContent-Length: " + std::to_string(large.size() + 1) + "\r\n",
          large);
    }
    it.check_sound_requests();
  }
}

} // namespace boragedoor::platform
