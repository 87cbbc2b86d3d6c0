#include "bench/simulation.h"

#include <catch2/catch.hpp>

namespace boragedoor::bench {

namespace {

figures run(std::string_view faults, bool policy, duration length = seconds(300)) {
  simulation_options options;
  options.where = find_deployment("threadwell").value();
  options.parts = {policy, policy, policy};
  options.workload.length = length;
  options.faults = parse_faults(faults, options.where, options.workload.length).value();
  return simulation::create(options).value()->run();
}

} // namespace

TEST_CASE("a simulated endpoint") {
  const time_point t0{};
  simulated_endpoint it(routing::endpoint{}, {.slots = 2, .rate = 10, .full_slowdown = 2}, 1);
  it.submit({.attempt = 1, .tokens = 30, .prefix = {}}, t0);

  SECTION("gives a request alone its share of the rate: 10 / 1.5 tokens a second") {
    CHECK(it.tokens_of(1, t0 + seconds(3)) == 20);
    CHECK(*it.next_completion() - (t0 + milliseconds(4500)) < microseconds(10));
  }
  SECTION("slows down when it fills, and lets the third wait") {
    it.submit({.attempt = 2, .tokens = 30, .prefix = {}}, t0);
    it.submit({.attempt = 3, .tokens = 30, .prefix = {}}, t0);
    CHECK(it.tokens_of(1, t0 + seconds(4)) == 20);
    CHECK(it.tokens_of(3, t0 + seconds(4)) == 0);
    CHECK(it.cancel(1, t0 + seconds(4)) == 20);
    CHECK(it.tokens_of(3, t0 + seconds(6)) == 10);
  }
  SECTION("loses everything in a crash") {
    CHECK(it.crash(t0) == std::vector<std::uint64_t>{1});
    CHECK_FALSE(it.next_completion());
  }
}

TEST_CASE("a bench run") {
  SECTION("repeats exactly with the same seed") {
    CHECK(to_json(run("data_centre_loss", true)) == to_json(run("data_centre_loss", true)));
  }
  SECTION("gives policy and baseline the same requests, and loses none of them") {
    const auto policy = run("cheap_reclaim,stragglers", true);
    const auto naive = run("cheap_reclaim,stragglers", false);
    CHECK(policy.requests == naive.requests);
    CHECK(policy.requests[0] > 10'000);
  }
  SECTION("shows a worst-served workspace that the policy protects from a greedy one") {
    // The queues must grow past the deadline of 360 s before anybody goes without.
    const duration length = seconds(1200);
    CHECK(run("greedy_workspace", true, length).worst_token_share >
          run("greedy_workspace", false, length).worst_token_share);
  }
  SECTION("refuses unknown names") {
    CHECK_FALSE(find_deployment("nowhere"));
    CHECK_FALSE(parse_faults("flood", find_deployment("sinaltec").value(), seconds(1)));
  }
}

} // namespace boragedoor::bench
