#include "crowd_fixture.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "instance/error_response.h"
#include "platform/base64.h"

namespace boragedoor::platform {

namespace {

constexpr std::string_view program = BORAGEDOOR_PLATFORM_PROGRAM;
constexpr duration sample_interval = milliseconds(5);

json make_configuration() {
  const json common = {{"host", "a.example"},
                       {"timeout_ms", 20000},
                       {"target_latency_ms", 500},
                       {"max_attempts", 2}};
  json plans = common;
  plans.update({{"name", "plans"}, {"prefix", "/plans/"}, {"kind", "safe"}, {"service", "plain"}});
  json jobs = common;
  jobs.update({{"name", "jobs"},
               {"prefix", "/jobs/"},
               {"kind", "rollout"},
               {"due_ms", 60000},
               {"max_queue_s", 600},
               {"service", "models"}});
  return {{"version", 3},
          {"routes", {plans, jobs}},
          {"services", {{{"name", "plain"}}, {{"name", "models"}}}},
          {"limits",
           {{"max_header_bytes", max_header_bytes},
            {"max_body_bytes", max_body_bytes},
            {"header_timeout_ms", 60000},
            {"idle_timeout_ms", 60000}}},
          {"tenants", {{{"name", "north"}, {"api_keys", {"key-n"}}}}}};
}

/// Most connections of a crowd need one descriptor here.
void allow_descriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// Returns an address that no other test process uses, one for each instance.
std::string own_host(std::size_t instance) {
  constexpr int first_block = 128;
  const int id = getpid();
  return fmt::format("127.{}.{}.{}", first_block + static_cast<int>(instance), (id >> 8) & 255,
                     1 + (id & 127));
}

} // namespace

crowd_fixture::crowd_fixture()
    : loop(net::event_loop::create().value()), store(*loop), caller_(*loop),
      sample_timer_(*loop, [this] { sample(); }) {
  allow_descriptors();
  std::string name = (std::filesystem::temp_directory_path() / "crowd.XXXXXX").string();
  REQUIRE(mkdtemp(name.data()) != nullptr);
  folder_ = name;
  store.put("op/config", make_configuration());
  store.set_body_limit(2 * max_body_bytes);
  cloud_ = http1::server::listen(
               *loop, {"127.0.0.1", 0},
               [](const std::shared_ptr<http1::exchange>& from) {
                 from->respond({200, {}, {}});
               },
               &instance::listener_refusal)
               .value();
  plain = std::make_unique<replica_stand_in>(
      *loop, store,
      replica_stand_in::options{
          .id = "p-1", .service = "plain", .slots = 400, .body_bytes = max_body_bytes});
  sample_timer_.start_periodic(sample_interval);
}

crowd_fixture::~crowd_fixture() {
  crowd.clear();
  instances_.clear();
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

crowd_instance& crowd_fixture::start(const std::string& name, const machine_options& options) {
  instances_.push_back(std::make_unique<crowd_instance>());
  crowd_instance& it = *instances_.back();
  it.name = name;
  it.descriptors = options.descriptors;
  const std::string host = own_host(instances_.size());
  constexpr std::uint16_t first_port = 7300;
  it.callers = {host, first_port};
  it.readiness = {host, first_port + 1};
  it.lookup = {host, first_port + 2};
  it.metrics = {host, first_port + 3};
  REQUIRE(try_start(it, options));
  return it;
}

bool crowd_fixture::try_start(crowd_instance& it, const machine_options& options) {
  const std::string file = folder_ + "/" + it.name + ".json";
  std::ofstream(file) << to_text(
      {{"node_name", it.name},
       {"zone", "z1"},
       {"region", "r1"},
       {"ip", it.callers.host},
       {"listen_addrs",
        {{"front", net::to_string(it.callers)},
         {"ready", net::to_string(it.readiness)},
         {"directory", net::to_string(it.lookup)}}},
       {"internal_ports", {it.metrics.port, it.metrics.port + 1}},
       {"limits",
        {{"cpu_share", 1},
         {"cpu_cores", 1},
         {"memory_mb", memory_mb},
         {"max_fds", it.descriptors}}},
       {"bounds",
        {{"lease_ttl_ms", 3000},
         {"usage_window_s", 5},
         {"grace_period_s", options.grace_period_s}}},
       {"platform", {{"address", net::to_string(store.address())}}},
       {"cloud_api", {{"address", net::to_string(cloud_->local_address())}}}});
  auto process = child_process::start(std::string(program), file, folder_ + "/" + it.name + ".log");
  if (!process) {
    return false;
  }
  it.process = std::make_unique<child_process>(std::move(process).value());
  constexpr int ok = 200;
  const time_point end = loop->now() + wait_limit;
  while (it.process->is_running() && loop->now() < end) {
    if (call(it.readiness, {"GET", "/", {{"Host", "a.example"}}, {}}).status == ok &&
        ordinary_status(it) == ok) {
      return true;
    }
    run(milliseconds(50));
  }
  return false;
}

raw_caller& crowd_fixture::add_caller(const net::address& to, std::string_view bytes, bool reads) {
  crowd.push_back(http1::connect_raw(*loop, to));
  crowd.back()->set_reading(reads);
  crowd.back()->send(bytes);
  return crowd.back();
}

void crowd_fixture::add_callers(const net::address& to, std::size_t count, std::string_view bytes,
                                bool reads) {
  for (std::size_t n = 0; n < count; ++n) {
    add_caller(to, bytes, reads);
  }
}

void crowd_fixture::let_crowd_act() {
  // What is not taken for a second will not be taken while the crowd stays.
  const auto left = [this] {
    std::size_t sum = 0;
    for (const raw_caller& it : crowd) {
      sum += it->closed_by_peer ? 0 : it->unsent();
    }
    return sum;
  };
  const time_point end = loop->now() + wait_limit;
  std::size_t before = left();
  while (before > 0 && loop->now() < end) {
    run(seconds(1));
    const std::size_t now = left();
    if (now == before) {
      break;
    }
    before = now;
  }
  run(crowd_stay);
}

void crowd_fixture::run(duration time) {
  loop->run_until([] { return false; }, time);
}

http1::response crowd_fixture::call(const net::address& to, http1::request message) {
  http1::call_spec spec;
  spec.target = to;
  spec.message = std::move(message);
  spec.new_connection = true;
  std::optional<http1::response> out;
  http1::call_callbacks callbacks;
  callbacks.on_end = [&](http1::call_outcome outcome, const http1::response& it) {
    out = outcome == http1::call_outcome::complete ? it : http1::response{};
  };
  const auto open = caller_.send(std::move(spec), std::move(callbacks));
  if (!loop->run_until([&] { return out.has_value(); }, wait_limit)) {
    open->cancel();
    return {};
  }
  return *out;
}

int crowd_fixture::ordinary_status(const crowd_instance& at) {
  static int calls = 0;
  return call(at.callers, {"POST",
                           "/plans/7",
                           {{"Host", "a.example"},
                            {"Attempt-Id", fmt::format("ordinary-{}", ++calls)},
                            {"Deadline-Ms", "20000"},
                            {"Authorization", "Bearer key-n"}},
                           "text"})
      .status;
}

void crowd_fixture::sample() {
  for (const auto& it : instances_) {
    if (it->process && it->process->is_running()) {
      it->peak_memory = std::max({it->peak_memory, it->process->peak_memory(),
                                  it->process->memory() + unread_bytes(it->callers.host)});
      it->peak_descriptors = std::max(it->peak_descriptors, it->process->open_descriptors());
    }
  }
}

void crowd_fixture::check_holds(crowd_instance& it) {
  plain->answer_size = 0;
  constexpr int ok = 200;
  // A refusal is allowed at once; the caller comes again.
  const auto is_answered = [&] {
    const time_point end = loop->now() + wait_limit;
    while (it.process->is_running() && loop->now() < end) {
      if (ordinary_status(it) == ok) {
        return true;
      }
      run(milliseconds(300));
    }
    return false;
  };
  CHECK(is_answered());
  crowd.clear();
  CHECK(is_answered());
  sample();
  WARN(it.name << ": peak memory " << it.peak_memory / 1024 << " KiB of " << memory_bytes / 1024
               << ", peak descriptors " << it.peak_descriptors);
  CHECK(it.process->is_running());
  CHECK(it.peak_memory <= memory_bytes);
  CHECK(it.peak_descriptors <= it.descriptors - reserved_descriptors);
  check_stops(it);
}

void crowd_fixture::check_stops(crowd_instance& it) {
  it.process->ask_to_stop();
  REQUIRE(loop->run_until([&] { return !it.process->is_running(); }, wait_limit));
  const int status = *it.process->end_status();
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

std::string request_head(std::string_view method, std::string_view target, std::string_view id,
                         std::string_view more) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\n"
                     "Deadline-Ms: 20000\r\nAuthorization: Bearer key-n\r\n{}\r\n",
                     method, target, id, more);
}

std::string job_submission(const std::string& id, std::size_t bytes, int step) {
  constexpr std::size_t item_count = 24;
  std::string data;
  append_base64(data, std::string(bytes / item_count / 4 * 3, 'x'));
  std::string body = fmt::format(R"({{"step":{},"model":"m","min_version":1,"items":[)", step);
  for (std::size_t n = 0; n < item_count; ++n) {
    body += fmt::format(
        R"({}{{"id":"i{}","path":"/jobs/x","headers":{{"Model":"m","Token-Usage":"10,100"}},)"
        R"("tokens":110,"group":"g{}","body":"{}"}})",
        n == 0 ? "" : ",", n, n / 2, data);
  }
  body += "]}";
  return request_head("POST", "/jobs/x", id, fmt::format("Content-Length: {}\r\n", body.size())) +
         body;
}

int received_status(const raw_caller& it) {
  constexpr std::string_view start = "HTTP/1.1 ";
  return it->received.starts_with(start) ? std::atoi(it->received.c_str() + start.size()) : 0;
}

} // namespace boragedoor::platform
