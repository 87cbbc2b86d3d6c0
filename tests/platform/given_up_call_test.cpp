#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "endpoint_links.h"
#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// Time for what the system still sends to arrive.
constexpr duration arrival_time = milliseconds(300);
/// Time that instances have to stop.
constexpr duration stop_time = seconds(2);
/// Longest time for which a call that nobody waits for may go on at an instance that forwards it:
/// the platform's time for the end of a job to take effect.
constexpr duration forwarding_limit = seconds(3);

/// Two replicas of a plain service and an engine, with a link between the first instance and each.
/// Kept connections lead to all of them.
struct given_up_call_fixture : platform_fixture {
  given_up_call_fixture() : platform_fixture(stop_time) {
    other = std::make_unique<replica_stand_in>(
        *loop, store, replica_stand_in::options{.id = "p-2", .service = "plain"});
    start_engine();
    REQUIRE(loop->run_until(
        [&] { return first->context().endpoints.available_count("plain") == 2; }, wait_limit));
  }

  /// Puts links before the replicas that an instance sends to, and lets it open connections there.
  void connect(serving_process& sender) {
    links = put_links_before(*loop, sender.context().endpoints);
    run_job("warm-up", 0);
    REQUIRE(loop->run_until(
        [&] {
          call(*first, "POST", "/plans/7", "body", "key-n", "w" + std::to_string(++requests));
          return received_by_plain() > 0 && other->received > 0 && plain->received > 0;
        },
        wait_limit));
  }

  /// Submits the job of a step whose items and reward calls have ids of their own.
  void submit(const std::string& job, int step) {
    json it = make_job();
    it["step"] = step;
    for (json& item : it["items"]) {
      item["id"] = job + item["id"].get<std::string>();
      json& reward = item["scorer_url"];
      reward["id"] = job + reward["id"].get<std::string>();
    }
    REQUIRE(call(*first, "POST", "/jobs/x", to_text(it), "key-n", job).status == 202);
  }

  void end(const std::string& job) {
    REQUIRE(call(*first, "DELETE", "/lots/" + job).status == 200);
  }

  void send_with_deadline(const std::string& id, duration deadline) {
    http1::call_spec spec;
    spec.target = first->callers_address();
    spec.message = make_request("POST", "/plans/7", id, deadline, "body");
    http1::call_callbacks callbacks;
    callbacks.on_end = [this](auto, const auto&) { ++answered; };
    caller.send(std::move(spec), std::move(callbacks));
  }

  void run_job(const std::string& job, int step) {
    submit(job, step);
    CHECK(read_all(*first, job).size() == 4);
    end(job);
  }

  [[nodiscard]] std::size_t received_by_plain() const { return plain->received + other->received; }
  [[nodiscard]] std::size_t received() const { return received_by_plain() + engine->received; }

  void wait(duration time) {
    loop->run_until([] { return false; }, time);
  }

  /// Opens the links and counts the requests that arrive although their calls have ended.
  std::size_t late_requests() {
    const std::size_t before = received();
    set_links(links, link_state::open);
    wait(arrival_time);
    return received() - before;
  }

  std::unique_ptr<replica_stand_in> other;
  std::vector<std::unique_ptr<link_stand_in>> links;
  int requests = 0;
  /// Requests with a deadline that have ended.
  int answered = 0;
};

} // namespace

// Guards against a call that was given up and runs once the link to its endpoint is back, for
// example a reward call of a job that has ended long before.
TEST_CASE("a call that ended while the link to its endpoint was cut does not run later") {
  given_up_call_fixture it;

  SECTION("if the instance has sent it") {
    it.connect(*it.first);
    SECTION("for an item of a job that ends") {
      set_links(it.links, link_state::hanging);
      it.submit("late", 1);
      it.wait(arrival_time);
      it.end("late");
    }
    SECTION("for the reward of an item, in whose place another call is made") {
      it.submit("late", 1);
      REQUIRE(it.loop->run_until([&] { return it.engine->open() > 0; }, wait_limit));
      // The first link is of the engine, which goes on.
      std::for_each(it.links.begin() + 1, it.links.end(),
                    [](const auto& link) { link->set_state(link_state::hanging); });
      it.wait(arrival_time);
      it.end("late");
    }
    SECTION("for a caller whose request has timed out") {
      set_links(it.links, link_state::hanging);
      constexpr int callers = 4;
      for (int n = 0; n < callers; ++n) {
        it.send_with_deadline("t" + std::to_string(n), milliseconds(500));
      }
      REQUIRE(it.loop->run_until([&] { return it.answered == callers; }, wait_limit));
    }
    SECTION("for a caller that has left") {
      set_links(it.links, link_state::hanging);
      const auto call = it.send(*it.first, "POST", "/plans/7", "left", [](const auto&) {});
      it.wait(milliseconds(20));
      call->cancel();
      it.wait(arrival_time);
    }
    SECTION("for an instance that stops") {
      set_links(it.links, link_state::hanging);
      it.submit("late", 1);
      it.send_with_deadline("stop", seconds(5));
      it.wait(milliseconds(20));
      it.first->drain();
      REQUIRE(it.loop->run_until([&] { return it.first->is_stopped(); }, wait_limit));
      it.first.reset();
    }
  }

  SECTION("if the instance has sent it through another one") {
    it.start("second", it.second);
    REQUIRE(it.loop->run_until([&] { return it.first->members().members().all().size() == 2; },
                               wait_limit));
    const auto own_links = put_links_before(*it.loop, it.first->context().endpoints);
    set_links(own_links, link_state::refusing);
    REQUIRE(it.loop->run_until(
        [&] {
          it.call(*it.first, "POST", "/plans/7", "body");
          return it.first->context().outgoing.is_cut_off();
        },
        wait_limit));
    it.connect(*it.second);
    SECTION("that learns of the end") {
      set_links(it.links, link_state::hanging);
      const auto call = it.send(*it.first, "POST", "/plans/7", "left", [](const auto&) {});
      it.wait(milliseconds(20));
      call->cancel();
      it.wait(arrival_time);
    }
    SECTION("that does not learn of the end") {
      link_stand_in between(*it.loop, it.second->relay_address());
      it.first->context().outgoing.set_relays({{between.address(), true}});
      it.call(*it.first, "POST", "/plans/7", "body", "key-n", "through");
      set_links(it.links, link_state::hanging);
      it.send_with_deadline("left", milliseconds(500));
      it.wait(milliseconds(20));
      REQUIRE(it.second->context().outgoing.open_forwards() > 0);
      between.set_state(link_state::hanging);
      REQUIRE(it.loop->run_until([&] { return it.second->context().outgoing.open_forwards() == 0; },
                                 forwarding_limit));
      it.wait(milliseconds(20));
    }
  }

  CHECK(it.late_requests() == 0);
}

} // namespace boragedoor::platform
